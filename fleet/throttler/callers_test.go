package throttler

import (
	"fmt"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// calmFrom returns the time from which on nothing may have to wait: a second after the last callers of the surge have come.
func (s *play) calmFrom() timekeeper.Millis {
	if s.comeBack {
		return surgeEnd + callerTimeout/3 + timekeeper.Second
	}

	return surgeEnd + timekeeper.Second
}

// call lets new calls arrive.
func (s *play) call() {
	for account := range accounts {
		expected := s.callsPerSecond / 1000 / accounts
		if s.now >= surgeStart && s.now < surgeEnd {
			if account == 0 && s.hotMultiple > 0 {
				expected *= s.hotMultiple
			} else {
				expected *= s.multiple
			}
		}
		clump := max(s.clump, 1)
		for expected /= float64(clump); expected > 0; expected-- {
			if s.random.Float64() < expected {
				s.arriveTogether(account, clump)
			}
		}
	}
}

// arriveTogether lets a call of an account arrive, and others at the same gateway.
func (s *play) arriveTogether(account, calls int) {
	first := s.newRequest(account)
	s.arrive(first)
	for range calls - 1 {
		r := s.newRequest(s.random.IntN(accounts))
		r.gateway = first.gateway
		s.arrive(r)
	}
}

func (s *play) newRequest(account int) *fakeRequest {
	point := s.random.Float64() * s.totalWeight
	i := 0
	for ; i < len(s.gates)-1 && point >= s.gates[i].weight; i++ {
		point -= s.gates[i].weight
	}
	r := &fakeRequest{calledAt: s.now, gateway: s.gates[i]}
	r.Account = model.AccountID(fmt.Sprint("account-", account))
	if s.random.IntN(7) < 2 && s.hotMultiple == 0 {
		r.Priority = 1
	}
	s.count(r, func(c *count) { c.calls++ })

	return r
}

func (s *play) count(r *fakeRequest, change func(*count)) {
	if !s.isSurge(r.calledAt) {
		return
	}
	if s.got.byAccount[r.Account] == nil {
		s.got.byAccount[r.Account] = &count{}
	}
	if s.got.byPriority[r.Priority] == nil {
		s.got.byPriority[r.Priority] = &count{}
	}
	change(s.got.byAccount[r.Account])
	change(s.got.byPriority[r.Priority])
}
