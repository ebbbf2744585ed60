package dispatcher

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

func (d *Dispatcher) choose(a *attempt) (target, *model.Refusal) {
	var t target
	var refusal *model.Refusal
	d.follower.View(func(v follower.View) {
		if v.Snapshot == nil {
			refusal = model.NewRefusal(model.CodeNotReady, "no configuration yet").
				WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)

			return
		}
		if refusal = d.refuseCondemned(v, a); refusal != nil {
			return
		}
		if a.used.Keyed {
			t, refusal = d.chooseHome(v, a)
		} else {
			t, refusal = d.chooseMember(v, a)
		}
		if refusal == nil {
			v.Table.Add(t.index, 1)
		}
	})

	return t, refusal
}

func (d *Dispatcher) refuseCondemned(v follower.View, a *attempt) *model.Refusal {
	f := model.Fingerprint(a.request.Run.Fingerprint)
	now := d.follower.Clock.Now()
	condemned, span := v.Register.Condemned(f, now)
	if !condemned {
		a.request.Run.Crashes = uint32(v.Register.Crashes(f, now))

		return nil
	}

	return model.NewRefusal(model.CodeCondemned, "the request has crashed two endpoints; change it before sending it again").
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(span)
}

// chooseHome returns the one endpoint that may run a key; only the home can say that a key did not run.
func (d *Dispatcher) chooseHome(v follower.View, a *attempt) (target, *model.Refusal) {
	r := a.request.Run
	k := deduplicator.Key{
		Account: model.AccountID(r.Account),
		Service: model.ServiceID(r.Service),
		Key:     model.IdempotencyKey(r.IdempotencyKey),
	}
	newest, ok := deduplicator.Newest(v.Snapshot.Fleet.Services[k.Service].Homes)
	if !ok {
		return target{}, model.NewRefusal(model.CodeKeyUnprovable, "the service declares no homes for idempotency keys").
			WithOutcome(model.OutcomeUnknown)
	}

	return d.target(v.Snapshot, deduplicator.Home(newest, k), true), nil
}

func (d *Dispatcher) chooseMember(v follower.View, a *attempt) (target, *model.Refusal) {
	r := a.request.Run
	g := v.Groups.Get(placer.GroupKey{
		Service: model.ServiceID(r.Service),
		Model:   model.ModelID(r.Model),
		Adapter: model.AdapterID(r.Adapter),
	})
	p := placer.NewPlacer(d.domain, v.Table)
	if blocked := d.blocked(v.Snapshot); len(blocked) > 0 {
		p.Blocked = func(index int) bool { return blocked[index] }
	}
	q := placer.Request{Chat: model.ChatKey(r.Chat), FirstTurn: r.FirstTurn, Hint: g.Find(a.request.Hint)}
	for id := range a.excluded {
		q.Excluded.Add(g.Find(id))
	}
	if m := g.Find(a.forced); m != placer.NoMember && p.Usable(g, m, &q.Excluded) {
		return d.target(v.Snapshot, a.forced, true), nil
	}
	choice := p.Choose(g, &q)
	if choice.Member == placer.NoMember {
		return target{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint can take the request now").
			WithRetryAfter(timekeeper.Second)
	}

	return d.target(v.Snapshot, g.Members[choice.Member].ID, choice.Placed), nil
}

func (d *Dispatcher) target(s *configurator.Snapshot, id model.EndpointID, placed bool) target {
	return target{
		id:      id,
		address: s.Fleet.Endpoints[id].Address,
		index:   s.IndexOf(id),
		placed:  placed,
		version: s.Version,
	}
}
