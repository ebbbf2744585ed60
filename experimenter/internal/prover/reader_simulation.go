package prover

import (
	"fmt"

	"cardamompulley/fleet/sourcer"
	"cardamompulley/fleet/timekeeper"
)

// ReaderVariant disables mechanisms by which gateways follow readers of the store. The zero value is the product as it is.
type ReaderVariant struct {
	// TrustsReaders believes a reader that answers, however long the store has been silent there.
	TrustsReaders bool
	// NeverLooks follows readers only, and never looks at the store in their place.
	NeverLooks bool
}

const (
	readerSteps        = 1500
	readerStepInterval = 20 * timekeeper.Millis(1)
	// readerBound is the time within which a change has to be known, readerContact the time after a fault from which that counts.
	readerBound   = 2 * timekeeper.Second
	readerContact = 3 * timekeeper.Second
	// readerPause is the pause after news from the store, readerHang the time after which a call that the store does not answer is given up.
	readerPause     = 250 * timekeeper.Millis(1)
	readerHang      = 1500 * timekeeper.Millis(1)
	readerIdleWait  = 1800 * timekeeper.Millis(1)
	readerBackoff   = 300 * timekeeper.Millis(1)
	maxReaderFault  = 8 * timekeeper.Second
	maxReaderFleet  = 100
	usualFleet      = 15
	readerStartTime = 100 * timekeeper.Millis(1)
)

// readerCall is a call in progress, to a reader or, if that is nil, to the store.
type readerCall struct {
	reader  *readerGateway
	sentAt  timekeeper.Millis
	until   timekeeper.Millis
	isHung  bool
	started bool
	// suspended is how long the caller had been suspended when it sent the call.
	suspended timekeeper.Millis
}

// readerGateway is a gateway process that learns the changes of the store.
type readerGateway struct {
	address string
	sourcer *sourcer.Sourcer
	// revision is the newest change that the gateway knows, knownAt the time at which the store held no newer one, on the gateway's clock,
	// and suspendedThen how long the gateway had been suspended by then.
	revision       int
	knownAt        timekeeper.Millis
	suspendedThen  timekeeper.Millis
	call           readerCall
	pausedUntil    timekeeper.Millis
	lastFollowedAt timekeeper.Millis
	// The times until which faults last.
	suspendedUntil, storeCutUntil, peersCutUntil timekeeper.Millis
	suspended                                    timekeeper.Millis
	// unknown are the gateways that this one does not know yet.
	unknown map[string]bool
	isDead  bool
}

// readerSimulation simulates the gateways of a failure domain and the store on one virtual clock.
type readerSimulation struct {
	choose   Chooser
	variant  ReaderVariant
	now      timekeeper.Millis
	gateways []*readerGateway
	// changes holds the time of each change.
	changes        []timekeeper.Millis
	storeDownUntil timekeeper.Millis
	violation      *Violation
}

// RunReaderSimulation lets 1 to 100 gateways of a failure domain learn the changes of a store while VMs are suspended, gateways are killed
// and cut off from the store or from each other, and the store is away. It checks that each gateway in touch knows a change in time.
func RunReaderSimulation(c Chooser, variant ReaderVariant) *Violation {
	s := &readerSimulation{choose: c, variant: variant, now: timekeeper.Hour}
	most := usualFleet
	if c.oneIn(10) {
		most = maxReaderFleet
	}
	for n := range 1 + c(most) {
		s.gateways = append(s.gateways, s.start(fmt.Sprintf("10.0.0.%d:80", n)))
	}
	for range readerSteps {
		s.now += readerStepInterval
		if c.oneIn(40) {
			s.changes = append(s.changes, s.now)
		}
		s.injectFaults()
		for _, g := range s.gateways {
			s.step(g)
			s.check(g)
		}
		if s.violation != nil {
			return s.violation
		}
	}

	return nil
}

// start returns a new process, which has read the store and knows some of the others.
func (s *readerSimulation) start(address string) *readerGateway {
	g := &readerGateway{
		address: address, revision: len(s.changes), knownAt: s.now, unknown: map[string]bool{}, pausedUntil: s.now + readerStartTime,
		sourcer: sourcer.NewSourcer(address, sourcer.NewTiming(readerBound), s.now),
	}
	for _, other := range s.gateways {
		if s.choose.oneIn(4) {
			g.unknown[other.address] = true
		}
	}

	return g
}

// clockOf returns the time on a gateway's clock, which stands still while its VM is suspended.
func (s *readerSimulation) clockOf(g *readerGateway) timekeeper.Millis {
	return s.now - g.suspended
}

func (s *readerSimulation) isSuspended(g *readerGateway) bool {
	return s.now < g.suspendedUntil
}

func (s *readerSimulation) reachesStore(g *readerGateway) bool {
	return s.now >= g.storeCutUntil && s.now >= s.storeDownUntil
}

func (s *readerSimulation) reaches(from, to *readerGateway) bool {
	return s.now >= from.peersCutUntil && s.now >= to.peersCutUntil && !s.isSuspended(to)
}

// injectFaults suspends, kills and cuts off gateways, all readers among them, and takes the store away.
func (s *readerSimulation) injectFaults() {
	c := s.choose
	if s.now < timekeeper.Hour+2*readerContact || !c.oneIn(25) {
		return
	}
	g := s.gateways[c(len(s.gateways))]
	if c.oneIn(2) && g.call.reader != nil {
		g = g.call.reader
	}
	until := s.now + c.duration(maxReaderFault)
	switch c(7) {
	case 0, 1:
		s.suspend(g, until)
	case 2, 3:
		g.storeCutUntil = until
	case 4:
		g.peersCutUntil = until
	case 5:
		s.killReaders(g)
	case 6:
		if c.oneIn(3) {
			s.storeDownUntil = until
		}
	}
}

func (s *readerSimulation) suspend(g *readerGateway, until timekeeper.Millis) {
	if !s.isSuspended(g) {
		g.suspendedUntil = until
		g.suspended += until - s.now
	}
}

// killReaders replaces a gateway and, now and then, all gateways that are followed.
func (s *readerSimulation) killReaders(killed *readerGateway) {
	isAll := s.choose.oneIn(3)
	for i, g := range s.gateways {
		isReader := g.lastFollowedAt > s.now-readerContact
		if g != killed && (!isAll || !isReader) {
			continue
		}
		g.isDead = true
		until := g.storeCutUntil
		s.gateways[i] = s.start(g.address)
		s.gateways[i].storeCutUntil = max(until, s.now+readerStartTime)
	}
}

// describe tells what a gateway lacks.
func (s *readerSimulation) describe(g *readerGateway, missing timekeeper.Millis) string {
	source := "the store"
	if g.call.reader != nil {
		source = g.call.reader.address
	}

	return fmt.Sprintf("at %d ms: %s, one of %d gateways, lacks a change of %d ms ago; it asks %s",
		s.now, g.address, len(s.gateways), s.now-missing, source)
}
