package submitter

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

// target is the endpoint of an attempt.
type target struct {
	id        model.EndpointID
	address   string
	loadIndex int
	// bypassesHome is true if the sidecar must not redirect the chat to another endpoint. The wire protocol calls it placed.
	bypassesHome         bool
	configurationVersion model.Version
}

// chooseTarget chooses the endpoint of the next attempt and counts the request as running there in the load table.
func (s *Submitter) chooseTarget(j *job) (target, *model.Refusal) {
	var t target
	var refusal *model.Refusal
	s.follower.WithView(func(v follower.View) {
		if v.Snapshot == nil {
			refusal = model.NewRefusal(model.CodeNotReady, "no configuration yet").
				WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)

			return
		}
		if refusal = s.checkQuarantine(v, j); refusal != nil {
			return
		}
		if j.hasIdempotencyKey() {
			t, refusal = s.chooseKeyHome(v, j)
		} else {
			t, refusal = s.chooseMember(v, j)
		}
		if refusal == nil {
			v.LoadTable.AddRunning(t.loadIndex, 1)
		}
	})

	return t, refusal
}

// checkQuarantine refuses a quarantined request. For any other it stores the known crashes in the message to the sidecar.
func (s *Submitter) checkQuarantine(v follower.View, j *job) *model.Refusal {
	f := model.Fingerprint(j.request.RunRequest.Fingerprint)
	now := s.follower.Clock.Now()
	remaining := v.Suspects.QuarantinedFor(f, now)
	if remaining <= 0 {
		known := v.Suspects.ShareOne(quarantiner.SuspectID(f), now)
		j.request.RunRequest.Suspects = quarantiner.EncodeSuspicions(known)

		return nil
	}

	return model.NewRefusal(model.CodeRequestQuarantined, "the request has crashed two endpoints; change it before sending it again").
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(remaining)
}

// chooseKeyHome returns the home of an idempotency key, the only endpoint that may run it. If there is none, the outcome is
// unknown, because only the home can confirm that a key did not run.
func (s *Submitter) chooseKeyHome(v follower.View, j *job) (target, *model.Refusal) {
	r := j.request.RunRequest
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

// chooseMember places a request without an idempotency key. The endpoint that the last refusal named is used if it is
// available and has not refused the request.
func (s *Submitter) chooseMember(v follower.View, j *job) (target, *model.Refusal) {
	r := j.request.RunRequest
	g := v.Groups.Get(placer.GroupKey{
		Service: model.ServiceID(r.Service),
		Model:   model.ModelID(r.Model),
		Adapter: model.AdapterID(r.Adapter),
	})
	p := placer.NewPlacer(s.domain, v.LoadTable)
	if blocked := s.blockedEndpoints(v.Snapshot); len(blocked) > 0 {
		p.IsBlocked = func(index int) bool { return blocked[index] }
	}
	placement := placer.Request{Chat: model.ChatKey(r.Chat), IsFirstTurn: r.FirstTurn, Hint: g.IndexOf(j.request.PlacementHint)}
	for id := range j.excluded {
		placement.Excluded.Add(g.IndexOf(id))
	}
	if m := g.IndexOf(j.nextEndpoint); m != placer.NoMember && p.IsEligible(g, m, &placement.Excluded) {
		return newTarget(v.Snapshot, j.nextEndpoint, true), nil
	}
	choice := p.Choose(g, &placement)
	if choice.Member == placer.NoMember {
		return target{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint can take the request now").
			WithRetryAfter(timekeeper.Second)
	}

	return newTarget(v.Snapshot, g.Members[choice.Member].ID, choice.BypassesHome), nil
}

func newTarget(s *configurator.Snapshot, id model.EndpointID, bypassesHome bool) target {
	return target{
		id:                   id,
		address:              s.Fleet.Endpoints[id].Address,
		loadIndex:            s.IndexOf(id),
		bypassesHome:         bypassesHome,
		configurationVersion: s.Version,
	}
}
