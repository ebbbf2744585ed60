package prover

import (
	"fmt"
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
)

// ResumeVariant disables mechanisms by which streams go on at the version that began them. The zero value is the product as it is.
type ResumeVariant struct {
	// GuessesPresentVersion goes on at the only version that serves now if nothing else is known.
	GuessesPresentVersion bool
	// TrustsAnyHistory takes what the store still holds for all that has happened.
	TrustsAnyHistory bool
	// ForgetsLeavers counts only the versions that are listed now.
	ForgetsLeavers bool
	// AsksNobody decides by what the gateway itself knows.
	AsksNobody bool
	// TrustsOldLists takes the list of a gateway for the newest one, although other gateways do not answer.
	TrustsOldLists bool
	// AsksNoEndpoint does not ask endpoints whether they have read the prompt of a stream that no gateway knows.
	AsksNoEndpoint bool
	// SendsOnce forgets to send the origins of streams that began while no other gateway could be reached.
	SendsOnce bool
	// IgnoresSuspension takes the time for which the VM was suspended for none, as its clock does.
	IgnoresSuspension bool
	// SendsNoOrigins keeps the origins of streams at the gateways that began them.
	SendsNoOrigins bool
}

const (
	resumeSteps        = 1600
	resumeStepInterval = 50 * timekeeper.Millis(1)
	resumeService      = model.ServiceID("engines")
	// resumeWindow is how long callers wait for a stream in all.
	resumeWindow = 12 * timekeeper.Second
	// resumeLinger is how long an endpoint serves after it has left the list.
	resumeLinger = 4 * timekeeper.Second
	// resumeRetention is the time for which the store keeps changes, unless it discards them early.
	resumeRetention = 20 * timekeeper.Second
	// resumeGap is the longest time between two lists in which no endpoint comes and goes unseen.
	resumeGap        = 2 * timekeeper.Second
	resumeMaxSilence = 3 * timekeeper.Second
	resumeHolders    = 2
	resumeAsked      = 4
	// resumeCalm is the time without faults after which streams must go on.
	resumeCalm = 2 * resumeRetention
)

// resumeEndpoint is an endpoint of a software version.
type resumeEndpoint struct {
	cataloguer.Endpoint

	leftAt timekeeper.Millis
}

func (e *resumeEndpoint) isListed() bool {
	return e.leftAt == 0
}

// resumedStream is a stream that has begun and that its caller can resume.
type resumedStream struct {
	key      resumer.StreamKey
	software model.SoftwareVersion
	endpoint *resumeEndpoint
	beganAt  timekeeper.Millis
	gateway  *resumeGateway
}

// resumeSimulation simulates gateways, endpoints of several versions and the store on one virtual clock.
type resumeSimulation struct {
	choose    Chooser
	variant   ResumeVariant
	now       timekeeper.Millis
	endpoints []*resumeEndpoint
	gateways  []*resumeGateway
	streams   []*resumedStream
	// versions counts the versions so far, keys the streams.
	versions, keys int
	// discardedAt is when the store has discarded its changes early.
	discardedAt timekeeper.Millis
	startedAt   timekeeper.Millis
	lastFault   timekeeper.Millis
	// lastVersion is when a version came last, lastRelease when the list changed last.
	lastVersion  timekeeper.Millis
	lastRelease  timekeeper.Millis
	isCalmVolume bool
	// suspends is true if VMs are suspended now and then.
	suspends bool
	// deaths holds the times at which gateways were killed.
	deaths    []timekeeper.Millis
	violation *Violation
}

// RunResumeSimulation lets callers resume streams at any gateway while versions come and go, gateways are killed one by one or all
// at once, and the store is silent or discards its changes. It checks that no stream goes on at another version than the one that
// began it, and that streams go on where that can be known.
func RunResumeSimulation(c Chooser, variant ResumeVariant) *Violation {
	s := &resumeSimulation{choose: c, variant: variant, now: timekeeper.Hour}

	return s.run()
}

// RunSuspendedResumeSimulation is RunResumeSimulation with VMs that are suspended, too, for a time that their clocks do not count.
func RunSuspendedResumeSimulation(c Chooser, variant ResumeVariant) *Violation {
	s := &resumeSimulation{choose: c, variant: variant, now: timekeeper.Hour, suspends: true}

	return s.run()
}

func (s *resumeSimulation) run() *Violation {
	c := s.choose
	s.startedAt, s.lastFault, s.lastRelease = s.now, s.now, s.now
	s.isCalmVolume = c.oneIn(3)
	s.addVersion(2 + c(4))
	for range 1 + c(8) {
		s.gateways = append(s.gateways, s.startGateway(len(s.gateways)))
	}
	for range resumeSteps {
		s.now += resumeStepInterval
		s.changeVersions()
		s.injectResumeFaults()
		for _, g := range s.gateways {
			s.syncGateway(g)
		}
		s.beginStream()
		s.resumeStream()
		if s.violation != nil {
			return s.violation
		}
	}

	return nil
}

func (s *resumeSimulation) addVersion(endpoints int) {
	s.versions++
	for range endpoints {
		e := cataloguer.Endpoint{
			ID:      model.EndpointID(fmt.Sprintf("endpoint-%d", len(s.endpoints))),
			Service: resumeService, Software: model.SoftwareVersion(fmt.Sprintf("v%d", s.versions)), StartedAt: s.now,
		}
		s.endpoints = append(s.endpoints, &resumeEndpoint{Endpoint: e})
	}
	s.lastVersion, s.lastRelease = s.now, s.now
}

// listed returns the endpoints that the store lists.
func (s *resumeSimulation) listed() []*resumeEndpoint {
	var listed []*resumeEndpoint
	for _, e := range s.endpoints {
		if e.isListed() {
			listed = append(listed, e)
		}
	}

	return listed
}

// changeVersions releases a new version, or lets an endpoint leave while others remain.
func (s *resumeSimulation) changeVersions() {
	if s.isCalmVolume {
		return
	}
	if s.choose.oneIn(300) {
		s.addVersion(1 + s.choose(3))
	}
	if listed := s.listed(); len(listed) > 1 && s.choose.oneIn(60) {
		listed[s.choose(len(listed))].leftAt = s.now
		s.lastRelease = s.now
	}
}

// beginStream begins a stream at an endpoint that a gateway lists and that still serves.
func (s *resumeSimulation) beginStream() {
	g, isAwake := s.awakeGateway()
	if !isAwake {
		return
	}
	var serving []*resumeEndpoint
	for _, e := range g.list {
		if e.isListed() || s.now-e.leftAt < resumeLinger {
			serving = append(serving, e)
		}
	}
	if len(serving) == 0 {
		return
	}
	e := serving[s.choose(len(serving))]
	s.keys++
	stream := &resumedStream{key: resumer.StreamKey(s.keys), software: e.Software, endpoint: e, beganAt: s.now, gateway: g}
	s.streams = append(s.streams, stream)
	g.origins.RecordStart(resumer.StreamStart{
		Origin:  resumer.Origin{Key: stream.key, Software: e.Software, Until: s.clockOf(g) + resumeWindow},
		Service: resumeService, Endpoint: e.ID,
	}, s.clockOf(g))
	s.sendOrigins(g)
}

// resumeStream lets the caller of a random stream resume it at a random gateway, and checks where it goes on.
func (s *resumeSimulation) resumeStream() {
	s.streams = slices.DeleteFunc(s.streams, func(r *resumedStream) bool { return s.now-r.beganAt >= resumeWindow })
	if len(s.streams) == 0 {
		return
	}
	stream := s.streams[s.choose(len(s.streams))]
	g, isAwake := s.awakeGateway()
	if !isAwake {
		return
	}
	software, isResolved := s.resolve(g, stream)
	if isResolved && software != stream.software {
		s.recordViolation("a stream goes on at the version that began it", "a stream of %s goes on at %s, %d ms after it began",
			stream.software, software, s.now-stream.beganAt)
	}
	if !isResolved {
		s.checkUnresolved(g, stream)
	}
}

// deathsSince returns the number of gateways that were killed since a time.
func (s *resumeSimulation) deathsSince(at timekeeper.Millis) int {
	count := 0
	for _, death := range s.deaths {
		if death >= at {
			count++
		}
	}

	return count
}

// checkUnresolved checks that a stream that cannot be resumed is not one whose version can be known.
func (s *resumeSimulation) checkUnresolved(g *resumeGateway, stream *resumedStream) {
	isCalm := s.now-s.lastFault > resumeMaxSilence && s.now >= g.storeSilentUntil
	if isCalm && s.now-s.lastRelease > resumeCalm && s.now-s.discardedAt > resumeCalm {
		s.recordViolation("streams of the only version go on", "a stream of %s does not go on, %d ms after it began",
			stream.software, s.now-stream.beganAt)
	}
	isSettled := s.now-s.lastFault > resumeWindow && s.lastVersion < stream.beganAt-timekeeper.Second
	if isSettled && len(s.gateways) > resumeHolders+1 && s.deathsSince(stream.beganAt) <= 1 {
		s.recordViolation("the death of one gateway loses no origin", "a stream of %s does not go on, %d ms after it began",
			stream.software, s.now-stream.beganAt)
	}
}

func (s *resumeSimulation) recordViolation(property, format string, arguments ...any) {
	if s.violation == nil {
		s.violation = &Violation{Property: property, Detail: fmt.Sprintf("at %d ms: ", s.now) + fmt.Sprintf(format, arguments...)}
	}
}
