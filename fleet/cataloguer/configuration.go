package cataloguer

import (
	"cmp"
	"net"
	"net/url"
	"slices"
	"strings"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// RouteKind states whether the requests of a route may run more than once.
type RouteKind string

// Kinds of routes. Requests of KindIdempotent routes may always run again, those of KindStream routes only if the route
// is resumable.
const (
	KindIdempotent RouteKind = "idempotent"
	KindOnce       RouteKind = "once"
	KindStream     RouteKind = "stream"
)

// WeightedService is a service that receives a part of the requests of a route, in proportion to its weight.
type WeightedService struct {
	Service model.ServiceID
	Weight  float64
}

// Route maps a host and a path prefix to services. Timeout and TargetLatency are in milliseconds.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          RouteKind
	IsResumable   bool
	IsPublic      bool
	Priority      int
	MaxAttempts   int
	Timeout       timekeeper.Millis
	TargetLatency timekeeper.Millis
	TrafficSplit  []WeightedService
}

// CanRepeat reports whether a request of the route may run more than once.
func (r *Route) CanRepeat() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.IsResumable)
}

// PickService returns the service for a request. The argument point is a random number, uniform in [0, 1).
func (r *Route) PickService(point float64) model.ServiceID {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	rest := point * total
	for _, s := range r.TrafficSplit {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}

	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// Service is a configured service.
type Service struct {
	ID             model.ServiceID
	MaxConnections int
	// IsEngine is true for services of model engines. Slots, the number of requests that an endpoint runs at a time, and
	// KVCapacity, the size of its KV cache, are set only for these.
	IsEngine   bool
	Slots      int
	KVCapacity model.Tokens
	// ColdDuration is the declared length of a cold start. MaxColdRequestsPerSecond bounds the requests that all
	// gateways together send to an endpoint in its cold start.
	ColdDuration             timekeeper.Millis
	MaxColdRequestsPerSecond float64
}

// Limits bounds the sizes and times of the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  timekeeper.Millis
	IdleTimeout    timekeeper.Millis
}

// Account is a client account. HasPriority is true if its priority overrides the route's.
type Account struct {
	ID          model.AccountID
	Priority    int
	HasPriority bool
}

// Configuration is an immutable version of the operators' configuration.
type Configuration struct {
	Version  model.Version
	Limits   Limits
	Services map[model.ServiceID]Service

	routesByHost  map[string][]Route
	accountsByKey map[string]Account
	requiresKey   bool
	priorities    map[model.ServiceID][]int
}

// NewConfiguration returns a configuration with routes indexed by host, longest prefix first. The accounts are indexed
// by API key; requiresKey is true if requests must carry one.
func NewConfiguration(v model.Version, l Limits, routes []Route, services []Service, accounts map[string]Account, requiresKey bool) *Configuration {
	c := &Configuration{
		Version:       v,
		Limits:        l,
		Services:      make(map[model.ServiceID]Service, len(services)),
		routesByHost:  map[string][]Route{},
		accountsByKey: accounts,
		requiresKey:   requiresKey,
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, r := range routes {
		r.Prefix = escapePath(r.Prefix)
		host := strings.TrimSuffix(strings.ToLower(r.Host), ".")
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}

	c.priorities = c.findPriorities(routes)

	return c
}

// escapePath escapes what cannot stand in the path of a request; escapes that are there already stay.
func escapePath(path string) string {
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		unescaped = path
	}
	u := url.URL{Path: unescaped, RawPath: path}

	return u.EscapedPath()
}

// Route returns the route with the longest prefix that begins a path as it is sent, with its escapes, or nil. A host without a
// route of its own port has the routes of its name.
func (c *Configuration) Route(host, path string) *Route {
	host = strings.ToLower(host)
	rs, ok := c.routesByHost[host]
	if !ok {
		rs = c.routesByHost[hostName(host)]
	}
	for i := range rs {
		if strings.HasPrefix(path, rs[i].Prefix) {
			return &rs[i]
		}
	}

	return nil
}

// hostName returns a host without its port and without the dot that ends a fully qualified name.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	} else if strings.Contains(name, ":") {
		name = "[" + name + "]"
	}

	return strings.TrimSuffix(name, ".")
}

// Account returns the client account of an API key. It returns false for an unknown key on a route that requires one.
func (c *Configuration) Account(r *Route, key string) (a Account, ok bool) {
	if !c.requiresKey || r.IsPublic {
		return Account{}, true
	}
	a, ok = c.accountsByKey[key]

	return a, ok
}
