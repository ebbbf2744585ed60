package inspector

import (
	"fmt"

	"cardamompulley/fleet/model"
)

func (n *notes) inspectServices(d *Document) {
	used := map[model.ServiceID]bool{}
	for i := range d.Routes {
		for _, s := range d.Routes[i].TrafficSplit {
			used[s.Service] = true
		}
	}
	seen := map[model.ServiceID]bool{}
	for i := range d.Services {
		s := &d.Services[i]
		if s.ID == "" {
			n.fail(s.Place, "the service has no name")
		}
		if seen[s.ID] {
			n.fail(s.Place, "the service is declared twice: only the last declaration counts")
		}
		seen[s.ID] = true
		if s.ID != "" && !used[s.ID] {
			n.warn(s.Place, "no route uses the service")
		}
		n.inspectService(s)
	}
}

func (n *notes) inspectService(s *Service) {
	if s.MaxConnections < 0 {
		n.fail(s.Place, "the number of connections is negative")
	}
	if s.Slots < 0 || s.KVCapacity < 0 {
		n.fail(s.Place, "the slots or the KV capacity of the engine are negative")
	}
	if s.MaxConnections > 0 && s.Slots > s.MaxConnections {
		n.warn(s.Place, fmt.Sprintf("the engine has %d slots but takes only %d connections", s.Slots, s.MaxConnections))
	}
	if s.ColdDuration < 0 {
		n.fail(s.Place, "the cold start's length is negative")
	}
	if s.MaxColdRequestsPerSecond < 0 {
		n.fail(s.Place, "the rate of requests in a cold start is negative")
	}
	// Gateways count whole requests, so that a rate below one is none.
	if s.ColdDuration > 0 && s.MaxColdRequestsPerSecond >= 0 && s.MaxColdRequestsPerSecond < 1 {
		n.warn(s.Place, "endpoints have a cold start, but its rate is below one request a second: they get none until it ends")
	}
}
