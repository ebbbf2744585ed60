package inspector

import (
	"fmt"
	"strings"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
)

func (n *notes) inspectRoutes(d *Document) {
	if len(d.Routes) == 0 {
		n.warn(Place{Kind: PlaceDocument}, "there are no routes: every request gets 404")
	}
	services := map[model.ServiceID]bool{}
	for i := range d.Services {
		services[d.Services[i].ID] = true
	}
	names, matches := map[string]Place{}, map[cataloguer.Match]Place{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Name == "" {
			n.fail(r.Place, "the route has no name")
		} else {
			n.warnOfRepeat(names, r.Place, "another route has the same name: log lines don't tell them apart")
		}
		n.inspectMatch(r, matches)
		n.inspectSplit(r, services)
		n.inspectTimes(r)
		n.inspectRepeats(r)
	}
}

// inspectMatch checks what selects a route; matches holds the routes before it.
func (n *notes) inspectMatch(r *Route, matches map[cataloguer.Match]Place) {
	if r.Host == "" {
		n.fail(r.Place, "the host is empty: no request can match the route")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		n.fail(r.Place, fmt.Sprintf("the prefix %q does not begin and end with a slash", r.Prefix))
	}
	match := r.Match()
	if first, ok := matches[match]; ok {
		n.warn(r.Place, fmt.Sprintf("no request can match: %s has the same host and prefix and comes first", first))

		return
	}
	matches[match] = r.Place
}

func (n *notes) inspectSplit(r *Route, services map[model.ServiceID]bool) {
	total, listed := 0.0, map[model.ServiceID]bool{}
	for _, s := range r.TrafficSplit {
		total += max(s.Weight, 0)
		switch {
		case s.Service == "":
			n.fail(r.Place, "the route has no service")
		case !services[s.Service]:
			n.fail(r.Place, fmt.Sprintf("the service %q is not declared", s.Service))
		case listed[s.Service]:
			n.warn(r.Place, fmt.Sprintf("the service %q stands in the split twice", s.Service))
		}
		listed[s.Service] = true
		if s.Weight < 0 {
			n.fail(r.Place, fmt.Sprintf("the weight of service %q is negative", s.Service))
		}
		if s.Weight == 0 && s.Service != "" {
			n.warn(r.Place, fmt.Sprintf("the weight of service %q is zero: it gets no requests of the route", s.Service))
		}
	}
	if total == 0 {
		n.fail(r.Place, "the weights of the split add up to nothing")
	}
}

func (n *notes) inspectTimes(r *Route) {
	if r.Timeout < 0 {
		n.fail(r.Place, "the timeout is negative")
	}
	if r.TargetLatency < 0 {
		n.fail(r.Place, "the target latency is negative")
	}
	if r.Timeout > 0 && r.Timeout < r.TargetLatency {
		n.warn(r.Place, fmt.Sprintf("the timeout (%d ms) is shorter than the target latency (%d ms)", r.Timeout, r.TargetLatency))
	}
}

func (n *notes) inspectRepeats(r *Route) {
	if !r.KnowsKind {
		n.fail(r.Place, fmt.Sprintf("the kind %q is unknown: requests are treated as ones that may run only once", r.WrittenKind))
	}
	if r.Attempts < 0 {
		n.fail(r.Place, "the number of attempts is negative")
	}
	if r.KnowsKind && r.MaxAttempts > 1 && !r.CanRepeat() {
		n.warn(r.Place, fmt.Sprintf("%d attempts have no effect: requests of the route may run only once", r.MaxAttempts))
	}
	if r.KnowsKind && r.IsResumable && r.Kind != cataloguer.KindStream {
		n.warn(r.Place, "the route is resumable, but only streams are resumed")
	}
}
