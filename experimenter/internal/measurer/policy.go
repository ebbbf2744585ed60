package measurer

import (
	"math"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
)

// Policy is a placement policy: the fleet's policy, or a baseline or upper limit to compare it with. AdmissionBound is a
// multiple of the mean load; it applies if IsBounded.
type Policy struct {
	Name           string
	AdmissionBound float64
	IsBounded      bool
	// Place proposes a request to endpoints. It returns the member that accepted it, and false if none did.
	Place func(s *simulation, req *request) (int, bool)
	// OnStart is called when a member starts a request.
	OnStart func(s *simulation, member int, req *request)
}

func noOp(*simulation, int, *request) {}

// UnboundedPolicies returns the baselines without a load bound.
func UnboundedPolicies() []Policy {
	return []Policy{
		{Name: "round-robin", Place: placeRoundRobin, OnStart: noOp},
		{Name: "two-choices", Place: placeTwoChoices, OnStart: noOp},
		{Name: "rendezvous", Place: placeRendezvous, OnStart: noOp},
	}
}

// BoundedPolicies returns the policies with an admission bound: a baseline, the policy of the fleet and an oracle, in this
// order.
func BoundedPolicies(bound float64) []Policy {
	return []Policy{
		{Name: "bounded-rendezvous", AdmissionBound: bound, IsBounded: true, Place: placeBoundedRendezvous, OnStart: noOp},
		{Name: "fleet", AdmissionBound: bound, IsBounded: true, Place: placeFleet, OnStart: recordHolder},
		{Name: "oracle", AdmissionBound: bound, IsBounded: true, Place: placeOracle, OnStart: noOp},
	}
}

func placeRoundRobin(s *simulation, req *request) (int, bool) {
	r := s.routers[req.router]
	r.roundRobinIndex = (r.roundRobinIndex + 1) % len(s.endpoints)

	return r.roundRobinIndex, s.propose(r.roundRobinIndex, req, math.MaxInt)
}

func placeTwoChoices(s *simulation, req *request) (int, bool) {
	chosen, other := s.random.IntN(len(s.endpoints)), s.random.IntN(len(s.endpoints))
	loads := s.routers[req.router].loads
	if loads.Get(other).Running < loads.Get(chosen).Running {
		chosen = other
	}
	loads.AddRunning(chosen, 1)

	return chosen, s.propose(chosen, req, math.MaxInt)
}

func placeRendezvous(s *simulation, req *request) (int, bool) {
	home := s.routers[req.router].placer.Home(s.group, req.chat)

	return home, s.propose(home, req, math.MaxInt)
}

// placeBoundedRendezvous selects the first member of the home order that is below the load limit in the router's table.
func placeBoundedRendezvous(s *simulation, req *request) (int, bool) {
	p := s.routers[req.router].placer
	loads := s.routers[req.router].loads
	limit := p.LoadLimit(s.group)
	var excluded placer.Exclusions
	for range maxAttempts {
		members := p.HomeOrder(s.group, req.chat, &excluded)
		chosen := placer.NoMember
		for _, m := range members {
			if loads.Get(m).Running < limit {
				chosen = m

				break
			}
		}
		if chosen == placer.NoMember {
			return 0, false
		}
		loads.AddRunning(chosen, 1)
		if s.propose(chosen, req, s.loadLimit(chosen)) {
			return chosen, true
		}
		s.reportLoad(chosen, req.router)
		excluded.Add(chosen)
	}

	return 0, false
}

// maxAttempts is the maximum number of endpoints that a router asks for one request.
const maxAttempts = 8

// placeFleet is the policy of the fleet. It uses the placement code of routers and sidecars.
func placeFleet(s *simulation, req *request) (int, bool) {
	r := s.routers[req.router]
	placement := placer.Request{Chat: req.chat, IsFirstTurn: req.isFirstTurn, Hint: placer.NoMember}
	redirect := placer.NoMember
	for range maxAttempts {
		member, bypassesHome := redirect, true
		if member == placer.NoMember || !r.placer.IsEligible(s.group, member, &placement.Excluded) {
			choice := r.placer.Choose(s.group, &placement)
			member, bypassesHome = choice.Member, choice.BypassesHome
		}
		if member == placer.NoMember {
			return 0, false
		}
		r.loads.AddRunning(member, 1)
		s.stats.hops += boolToInt(s.isWarmedUp())
		if !bypassesHome {
			if target := s.chooseAtHome(member, req.chat); target != member {
				s.reportLoad(member, req.router)
				redirect = target

				continue
			}
		}
		if s.propose(member, req, s.loadLimit(member)) {
			return member, true
		}
		s.reportLoad(member, req.router)
		placement.Excluded.Add(member)
		redirect = s.endpoints[member].placer.NextBest(s.group, req.chat, member)
	}

	return 0, false
}

// chooseAtHome returns the member that the sidecar of a presumed home selects for a chat: another home according to its own
// table, a holder of the chat, the least loaded candidate, or itself if nothing else is available.
func (s *simulation) chooseAtHome(member int, chat model.ChatKey) int {
	e := s.endpoints[member]
	if e.isDown {
		return member
	}
	e.loads.Observe(member, s.currentLoad(member))
	if home := e.placer.Home(s.group, chat); home != member && home != placer.NoMember {
		return home
	}
	choice := e.placer.ChooseAtHome(s.group, chat, e.holders.Holders(chat))
	if choice.Member == placer.NoMember {
		return member
	}

	return choice.Member
}

// recordHolder records a member as holder of a chat in its own directory and in the directory of the chat's home.
func recordHolder(s *simulation, member int, req *request) {
	id := s.group.Members[member].ID
	e := s.endpoints[member]
	e.holders.Record(req.chat, id)
	if home := e.placer.Home(s.group, req.chat); home != placer.NoMember && home != member {
		s.endpoints[home].holders.Record(req.chat, id)
	}
}

// placeOracle uses the current caches and loads of all endpoints. It selects the least loaded holder below the exact load
// limit, or the least loaded endpoint if there is none.
func placeOracle(s *simulation, req *request) (int, bool) {
	totalRunning, availableCount := 0, 0
	for i, e := range s.endpoints {
		if !e.isDown {
			totalRunning += s.currentLoad(i).Running
			availableCount++
		}
	}
	limit := max(loadFloor, int(s.policy.AdmissionBound*float64(totalRunning)/float64(max(availableCount, 1)))+1)
	holder, leastLoaded := placer.NoMember, placer.NoMember
	for i, e := range s.endpoints {
		running := s.currentLoad(i).Running
		if e.isDown || running >= limit {
			continue
		}
		if e.prefixCache.Contains(req.chat) && (holder == placer.NoMember || running < s.currentLoad(holder).Running) {
			holder = i
		}
		if leastLoaded == placer.NoMember || running < s.currentLoad(leastLoaded).Running {
			leastLoaded = i
		}
	}
	if holder == placer.NoMember {
		holder = leastLoaded
	}
	if holder == placer.NoMember {
		return 0, false
	}

	return holder, s.propose(holder, req, limit)
}
