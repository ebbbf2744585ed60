package admitter

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const gateRetryAfter = timekeeper.Second

// Gate holds the conditions under which an endpoint accepts no new requests.
type Gate struct {
	Self           model.EndpointID
	IsReady        bool
	IsVMDraining   bool
	IsShuttingDown bool
	IsDown         bool
}

// Check returns the refusal of a request that a router has placed under a configuration version, or nil. The check must
// be repeated after a request has waited, since the conditions may have changed.
func (g Gate) Check(s *configurator.Snapshot, proposed model.Version) *model.Refusal {
	if s == nil || !g.IsReady {
		return g.refuse(model.CodeStaleView, "the sidecar has not heard the news yet")
	}
	e, declared := s.Fleet.Endpoints[g.Self]
	if !declared {
		return g.refuse(model.CodeEndpointDraining, "the endpoint is not declared")
	}
	if proposed > s.Version {
		return g.refuse(model.CodeStaleView, "the router holds a newer configuration")
	}
	if s.Fleet.Domains[e.Domain].State != model.DomainInService {
		return g.refuse(model.CodeDomainOutOfService, "the failure domain is out")
	}
	if e.IsDraining || g.IsVMDraining || g.IsShuttingDown {
		return g.refuse(model.CodeEndpointDraining, "the endpoint is leaving")
	}
	if g.IsDown {
		return g.refuse(model.CodeEndpointUnreachable, "the endpoint does not answer")
	}

	return nil
}

func (g Gate) refuse(code model.Code, detail string) *model.Refusal {
	return model.NewRefusal(code, detail).WithRetryAfter(gateRetryAfter)
}
