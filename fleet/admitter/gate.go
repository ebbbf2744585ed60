package admitter

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const gateRetryAfter = timekeeper.Second

// Gate holds every reason why an endpoint takes no new work at all.
type Gate struct {
	Self         model.EndpointID
	Ready        bool
	VMLeaving    bool
	ShuttingDown bool
	Down         bool
}

// Check returns the refusal of new work proposed under a configuration version, or nil; it is asked again after every wait.
func (g Gate) Check(s *configurator.Snapshot, proposed model.Version) *model.Refusal {
	if s == nil || !g.Ready {
		return g.refuse(model.CodeStale, "the sidecar has not heard the news yet")
	}
	e, declared := s.Fleet.Endpoints[g.Self]
	if !declared {
		return g.refuse(model.CodeLeaving, "the endpoint is not declared")
	}
	if proposed > s.Version {
		return g.refuse(model.CodeStale, "the router holds a newer configuration")
	}
	if s.Fleet.Domains[e.Domain].State != model.DomainIn {
		return g.refuse(model.CodeDomainOut, "the failure domain is out")
	}
	if e.Leaving || g.VMLeaving || g.ShuttingDown {
		return g.refuse(model.CodeLeaving, "the endpoint is leaving")
	}
	if g.Down {
		return g.refuse(model.CodeUnreachable, "the endpoint does not answer")
	}

	return nil
}

func (g Gate) refuse(code model.Code, detail string) *model.Refusal {
	return model.NewRefusal(code, detail).WithRetryAfter(gateRetryAfter)
}
