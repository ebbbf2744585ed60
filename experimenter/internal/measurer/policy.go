package measurer

import (
	"math"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
)

// Policy places requests; baselines and the fleet's own policy run on the same fakes.
type Policy struct {
	Name    string
	Bound   float64
	Bounded bool
	// Place returns the member that took a request, false when it was given up.
	Place func(w *world, q *request) (int, bool)
	// Started is told of each start.
	Started func(w *world, member int, q *request)
}

func nothing(*world, int, *request) {}

// Unbounded are the baselines without a bound on load.
func Unbounded() []Policy {
	return []Policy{
		{Name: "round-robin", Place: placeRoundRobin, Started: nothing},
		{Name: "two-choices", Place: placeTwoChoices, Started: nothing},
		{Name: "rendezvous", Place: placeRendezvous, Started: nothing},
	}
}

// Bounded are the policies that keep an admission bound: a baseline, this fleet's, and an oracle.
func Bounded(bound float64) []Policy {
	return []Policy{
		{Name: "bounded-rendezvous", Bound: bound, Bounded: true, Place: placeBoundedRendezvous, Started: nothing},
		{Name: "fleet", Bound: bound, Bounded: true, Place: placeFleet, Started: noteHolders},
		{Name: "oracle", Bound: bound, Bounded: true, Place: placeOracle, Started: nothing},
	}
}

func placeRoundRobin(w *world, q *request) (int, bool) {
	r := w.routers[q.router]
	r.next = (r.next + 1) % len(w.runners)

	return r.next, w.offer(r.next, q, math.MaxInt)
}

func placeTwoChoices(w *world, q *request) (int, bool) {
	a, b := w.random.IntN(len(w.runners)), w.random.IntN(len(w.runners))
	t := w.routers[q.router].table
	if t.Get(b).Running < t.Get(a).Running {
		a = b
	}
	t.AddRunning(a, 1)

	return a, w.offer(a, q, math.MaxInt)
}

func placeRendezvous(w *world, q *request) (int, bool) {
	home := w.routers[q.router].placer.Home(w.group, q.chat)

	return home, w.offer(home, q, math.MaxInt)
}

// placeBoundedRendezvous takes the first member of the home order under the bound, by the router's view.
func placeBoundedRendezvous(w *world, q *request) (int, bool) {
	p := w.routers[q.router].placer
	t := w.routers[q.router].table
	limit := p.LoadLimit(w.group)
	var excluded placer.Exclusions
	for range maxTries {
		members := p.HomeOrder(w.group, q.chat, &excluded)
		chosen := placer.NoMember
		for _, m := range members {
			if t.Get(m).Running < limit {
				chosen = m

				break
			}
		}
		if chosen == placer.NoMember {
			return 0, false
		}
		t.AddRunning(chosen, 1)
		if w.offer(chosen, q, w.bound(chosen)) {
			return chosen, true
		}
		w.learn(chosen, q.router)
		excluded.Add(chosen)
	}

	return 0, false
}

const maxTries = 8

// placeFleet is what routers and sidecars do, on their own cores.
func placeFleet(w *world, q *request) (int, bool) {
	r := w.routers[q.router]
	request := placer.Request{Chat: q.chat, IsFirstTurn: q.firstTurn, Hint: placer.NoMember}
	forced := placer.NoMember
	for range maxTries {
		member, placed := forced, true
		if member == placer.NoMember || !r.placer.IsEligible(w.group, member, &request.Excluded) {
			choice := r.placer.Choose(w.group, &request)
			member, placed = choice.Member, choice.BypassesHome
		}
		if member == placer.NoMember {
			return 0, false
		}
		r.table.AddRunning(member, 1)
		w.tally.hops += count(w.warm())
		if !placed {
			if elsewhere := w.atHome(member, q.chat); elsewhere != member {
				w.learn(member, q.router)
				forced = elsewhere

				continue
			}
		}
		if w.offer(member, q, w.bound(member)) {
			return member, true
		}
		w.learn(member, q.router)
		request.Excluded.Add(member)
		forced = w.runners[member].placer.NextBest(w.group, q.chat, member)
	}

	return 0, false
}

// atHome is what the sidecar of a chat's home says: itself, or the member that holds the chat.
func (w *world) atHome(member int, chat model.ChatKey) int {
	r := w.runners[member]
	if r.down {
		return member
	}
	r.table.Observe(member, w.exact(member))
	if home := r.placer.Home(w.group, chat); home != member && home != placer.NoMember {
		return home
	}
	choice := r.placer.ChooseAtHome(w.group, chat, r.chats.Holders(chat))
	if choice.Member == placer.NoMember {
		return member
	}

	return choice.Member
}

func noteHolders(w *world, member int, q *request) {
	id := w.group.Members[member].ID
	r := w.runners[member]
	r.chats.Record(q.chat, id)
	if home := r.placer.Home(w.group, q.chat); home != placer.NoMember && home != member {
		w.runners[home].chats.Record(q.chat, id)
	}
}

// placeOracle knows every cache and load now: the least loaded holder under the exact bound, else the least loaded.
func placeOracle(w *world, q *request) (int, bool) {
	total, living := 0, 0
	for i, r := range w.runners {
		if !r.down {
			total += w.exact(i).Running
			living++
		}
	}
	limit := max(loadFloor, int(w.policy.Bound*float64(total)/float64(max(living, 1)))+1)
	holder, least := placer.NoMember, placer.NoMember
	for i, r := range w.runners {
		busy := w.exact(i).Running
		if r.down || busy >= limit {
			continue
		}
		if r.cache.Contains(q.chat) && (holder == placer.NoMember || busy < w.exact(holder).Running) {
			holder = i
		}
		if least == placer.NoMember || busy < w.exact(least).Running {
			least = i
		}
	}
	if holder == placer.NoMember {
		holder = least
	}
	if holder == placer.NoMember {
		return 0, false
	}

	return holder, w.offer(holder, q, limit)
}
