package submitter

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/timekeeper"
)

// target is where an attempt goes.
type target struct {
	id      model.EndpointID
	address string
	index   int
	placed  bool
	version model.Version
}

func (s *Submitter) choose(j *job) (target, *model.Refusal) {
	var t target
	var refusal *model.Refusal
	s.follower.WithView(func(v follower.View) {
		if v.Snapshot == nil {
			refusal = model.NewRefusal(model.CodeNotReady, "no configuration yet").
				WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)

			return
		}
		if refusal = s.refuseCondemned(v, j); refusal != nil {
			return
		}
		if j.keyed() {
			t, refusal = s.chooseHome(v, j)
		} else {
			t, refusal = s.chooseMember(v, j)
		}
		if refusal == nil {
			v.LoadTable.AddRunning(t.index, 1)
		}
	})

	return t, refusal
}

func (s *Submitter) refuseCondemned(v follower.View, j *job) *model.Refusal {
	f := model.Fingerprint(j.request.Run.Fingerprint)
	now := s.follower.Clock.Now()
	condemned, span := v.Quarantine.IsQuarantined(f, now)
	if !condemned {
		j.request.Run.Crashes = uint32(v.Quarantine.Crashes(f, now))

		return nil
	}

	return model.NewRefusal(model.CodeRequestQuarantined, "the request has crashed two endpoints; change it before sending it again").
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(span)
}

// chooseHome returns the one endpoint that may run a key; only the home can say that a key did not run.
func (s *Submitter) chooseHome(v follower.View, j *job) (target, *model.Refusal) {
	r := j.request.Run
	k := deduplicator.Key{
		Account: model.AccountID(r.Account),
		Service: model.ServiceID(r.Service),
		Key:     model.IdempotencyKey(r.IdempotencyKey),
	}
	newest, ok := deduplicator.NewestGeneration(v.Snapshot.Fleet.Services[k.Service].Homes)
	if !ok {
		return target{}, model.NewRefusal(model.CodeKeyStateUnknown, "the service declares no homes for idempotency keys").
			WithOutcome(model.OutcomeUnknown)
	}

	return newTarget(v.Snapshot, deduplicator.HomeEndpoint(newest, k), true), nil
}

func (s *Submitter) chooseMember(v follower.View, j *job) (target, *model.Refusal) {
	r := j.request.Run
	g := v.Groups.Get(placer.GroupKey{
		Service: model.ServiceID(r.Service),
		Model:   model.ModelID(r.Model),
		Adapter: model.AdapterID(r.Adapter),
	})
	p := placer.NewPlacer(s.domain, v.LoadTable)
	if blocked := s.blocked(v.Snapshot); len(blocked) > 0 {
		p.IsBlocked = func(index int) bool { return blocked[index] }
	}
	q := placer.Request{Chat: model.ChatKey(r.Chat), IsFirstTurn: r.FirstTurn, Hint: g.IndexOf(j.request.Hint)}
	for id := range j.excluded {
		q.Excluded.Add(g.IndexOf(id))
	}
	if m := g.IndexOf(j.forced); m != placer.NoMember && p.IsEligible(g, m, &q.Excluded) {
		return newTarget(v.Snapshot, j.forced, true), nil
	}
	choice := p.Choose(g, &q)
	if choice.Member == placer.NoMember {
		return target{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint can take the request now").
			WithRetryAfter(timekeeper.Second)
	}

	return newTarget(v.Snapshot, g.Members[choice.Member].ID, choice.BypassesHome), nil
}

func newTarget(s *configurator.Snapshot, id model.EndpointID, placed bool) target {
	return target{
		id:      id,
		address: s.Fleet.Endpoints[id].Address,
		index:   s.IndexOf(id),
		placed:  placed,
		version: s.Version,
	}
}
