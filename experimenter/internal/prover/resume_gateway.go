package prover

import (
	"cmp"
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
)

// resumeGateway is a gateway process with what it knows of versions and streams.
type resumeGateway struct {
	index    int
	origins  *resumer.OriginTable
	versions *resumer.VersionHistory
	// list holds the endpoints that the gateway lists, as of listedAt.
	list             []*resumeEndpoint
	listedAt         timekeeper.Millis
	storeSilentUntil timekeeper.Millis
	// cutOffUntil is the time until which the gateway reaches no other gateway.
	cutOffUntil timekeeper.Millis
	// suspendedUntil is the time until which the gateway's VM is suspended, suspended how long it was in all. The gateway's clock does not
	// count that time. suspendedBefore is what of it was before listedAt.
	suspendedUntil             timekeeper.Millis
	suspended, suspendedBefore timekeeper.Millis
	isDead                     bool
}

// clockOf returns the time on the clock of a gateway.
func (s *resumeSimulation) clockOf(g *resumeGateway) timekeeper.Millis {
	return s.now - g.suspended
}

// silence returns how long ago a gateway has listed what the store does, as far as it knows.
func (s *resumeSimulation) silence(g *resumeGateway) timekeeper.Millis {
	if s.variant.IgnoresSuspension {
		return s.now - g.listedAt - (g.suspended - g.suspendedBefore)
	}

	return s.now - g.listedAt
}

// startGateway returns a new gateway process that has read the store's list and the changes that it still holds.
func (s *resumeSimulation) startGateway(index int) *resumeGateway {
	g := &resumeGateway{
		index: index, origins: resumer.NewOriginTable(), versions: resumer.NewVersionHistory(resumeLinger, s.now), listedAt: s.now,
	}
	s.readList(g)
	s.readRetained(g)

	return g
}

// readList lets a gateway list what the store does.
func (s *resumeSimulation) readList(g *resumeGateway) {
	g.list = s.listed()
	g.listedAt, g.suspendedBefore = s.now, g.suspended
	var endpoints []*cataloguer.Endpoint
	for _, e := range g.list {
		endpoints = append(endpoints, &e.Endpoint)
	}
	if s.variant.ForgetsLeavers {
		g.versions = resumer.NewVersionHistory(0, s.startedAt)
	}
	g.versions.Observe(endpoints, s.clockOf(g))
}

// readRetained lets a new gateway learn from the changes that the store still holds, if it holds all that it ever had.
func (s *resumeSimulation) readRetained(g *resumeGateway) {
	isWhole := s.discardedAt == 0 && s.now-s.startedAt < resumeRetention
	if !isWhole && !s.variant.TrustsAnyHistory {
		return
	}
	for _, e := range s.endpoints {
		isHeld := isWhole || e.leftAt > max(s.discardedAt, s.now-resumeRetention)
		if !e.isListed() && isHeld && !s.variant.ForgetsLeavers {
			g.versions.RecordPast(resumeService, e.Software, s.now)
		}
	}
	g.versions.Extend(s.startedAt-timekeeper.Hour, s.now)
}

// syncGateway lets a gateway follow the store now and then. It learns all changes in between, unless they are gone.
func (s *resumeSimulation) syncGateway(g *resumeGateway) {
	if s.now >= g.storeSilentUntil && s.now >= g.suspendedUntil && s.choose.oneIn(4) {
		s.followStore(g)
	}
}

// followStore brings a gateway up to date with the store.
func (s *resumeSimulation) followStore(g *resumeGateway) {
	isGap := s.discardedAt > g.listedAt || s.now-g.listedAt > resumeRetention
	if isGap && s.silence(g) > resumeGap {
		g.versions.Restart(s.clockOf(g))
	}
	for _, e := range s.endpoints {
		if !isGap && !e.isListed() && e.leftAt > g.listedAt {
			g.versions.RecordPast(resumeService, e.Software, s.clockOf(g))
		}
	}
	s.readList(g)
	s.sendOrigins(g)
}

// reaches reports whether a gateway reaches another one.
func (s *resumeSimulation) reaches(from, to *resumeGateway) bool {
	isAwake := s.now >= from.suspendedUntil && s.now >= to.suspendedUntil

	return from != to && !from.isDead && !to.isDead && isAwake && s.now >= from.cutOffUntil && s.now >= to.cutOffUntil
}

// ranked returns the other gateways that a gateway reaches, in the order of their ranks for a stream, count at most.
func (s *resumeSimulation) ranked(g *resumeGateway, key resumer.StreamKey, count int) []*resumeGateway {
	var reached []*resumeGateway
	for _, other := range s.gateways {
		if s.reaches(g, other) {
			reached = append(reached, other)
		}
	}
	score := func(other *resumeGateway) uint64 { return hasher.Mix(uint64(key) ^ hasher.Mix(uint64(other.index))) }
	slices.SortFunc(reached, func(a, b *resumeGateway) int { return cmp.Compare(score(a), score(b)) })

	return reached[:min(count, len(reached))]
}

// sendOrigins lets a gateway send others the origins that they need.
func (s *resumeSimulation) sendOrigins(g *resumeGateway) {
	if s.variant.SendsNoOrigins {
		return
	}
	isNeeded := func(id model.ServiceID) bool {
		return s.silence(g) > resumeMaxSilence || !g.versions.IsSole(id, s.clockOf(g)-resumeWindow)
	}
	for _, o := range g.origins.TakeUnsent(isNeeded, s.clockOf(g)) {
		holders := s.ranked(g, o.Key, resumeHolders)
		for _, other := range holders {
			sent := o
			sent.Until += s.clockOf(other) - s.clockOf(g)
			other.origins.Merge(sent, s.clockOf(other))
		}
		if len(holders) == 0 && !s.variant.SendsOnce {
			g.origins.ReturnUnsent([]resumer.Origin{o})
		}
	}
}

func (s *resumeSimulation) reportOrigin(g *resumeGateway, key resumer.StreamKey) resumer.Report {
	t := resumer.Report{
		Seen:       g.versions.Seen(resumeService, s.clockOf(g)-resumeWindow),
		IsComplete: g.versions.IsComplete(s.clockOf(g) - resumeWindow),
	}
	t.Software, t.IsKnown = g.origins.Find(key, s.clockOf(g))

	return t
}

// freshReport returns what a gateway knows after another look at the store, if the store answers it.
func (s *resumeSimulation) freshReport(g *resumeGateway, key resumer.StreamKey) resumer.Report {
	isFresh := s.now >= g.storeSilentUntil
	if isFresh && !s.variant.TrustsOldLists {
		s.followStore(g)
	}
	t := s.reportOrigin(g, key)
	t.IsFresh = isFresh || s.variant.TrustsOldLists

	return t
}

// resolve returns the version at which a gateway lets a stream go on, or false if it refuses the caller.
func (s *resumeSimulation) resolve(g *resumeGateway, stream *resumedStream) (model.SoftwareVersion, bool) {
	reports := []resumer.Report{s.reportOrigin(g, stream.key)}
	unanswered := 0
	for _, other := range s.gateways {
		if other != g && !s.reaches(g, other) {
			unanswered++
		}
	}
	if !s.variant.AsksNobody {
		for _, other := range s.ranked(g, stream.key, resumeAsked) {
			reports = append(reports, s.reportOrigin(other, stream.key))
		}
	}
	software, isResolved := resumer.Resolve(reports, unanswered)
	if !isResolved && unanswered > 0 {
		software, isResolved = resumer.Resolve(append(reports, s.freshReport(g, stream.key)), unanswered)
	}
	switch {
	case isResolved:
		return software, true
	case s.variant.GuessesPresentVersion:
		return s.onlyListed(g)
	case s.variant.AsksNoEndpoint:
		return "", false
	}

	return stream.software, slices.Contains(g.list, stream.endpoint) && stream.endpoint.isListed()
}

// onlyListed returns the only version that a gateway lists.
func (s *resumeSimulation) onlyListed(g *resumeGateway) (model.SoftwareVersion, bool) {
	listed := map[model.SoftwareVersion]bool{}
	for _, e := range g.list {
		listed[e.Software] = true
	}
	for software := range listed {
		return software, len(listed) == 1
	}

	return "", false
}
