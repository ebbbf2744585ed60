package prover

import (
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

const (
	// domainCrashSteps is the length of a schedule, domainRestartAt the time at which all gateways restart in it.
	domainCrashSteps = 2000
	domainRestartAt  = 2 * timekeeper.Second
	// maxDomainGateways limits the gateways of a schedule.
	maxDomainGateways = 100
	// maxDomainOutage is how long the endpoints of the domain are down at most.
	maxDomainOutage = 5 * timekeeper.Second
	// domainRecoveryTime is the time after the crash of the domain from which sound requests have to be served.
	domainRecoveryTime = 12 * timekeeper.Second
	// maxMinRunTime is the longest time that all sound requests run at least in a schedule without a crashing part. If none of them ends
	// between the restart and the crash, no gateway knows that their parts are sound. Beside a crashing part they end soon: a part that
	// no request has survived cannot be told from it.
	maxMinRunTime = 3 * timekeeper.Second
	// maxLossDelay is how much later than another gateway one notices that the requests of an endpoint are lost.
	maxLossDelay = 30 * timekeeper.Millis(1)
)

// RunDomainCrashSimulation restarts all gateways, then crashes all endpoints at once, with or without a prompt part that crashes
// endpoints by itself. It checks that the sound requests, which share their first part, are served afterwards, and that the crashing part
// stays away.
func RunDomainCrashSimulation(c Chooser, variant CrashVariant) *Violation {
	s := newDomainCrashSimulation(c, variant)
	crashAt := domainRestartAt + c.duration(2*timekeeper.Second)
	for range domainCrashSteps {
		s.now += crashStepInterval
		switch {
		case s.now == domainRestartAt:
			s.restartGateways()
		case s.now-crashStepInterval < crashAt && crashAt <= s.now:
			s.crashDomain()
		case s.now < crashAt+domainRecoveryTime:
			s.sound, s.refused = 0, 0
		}
		s.step()
		if s.violation != nil {
			return s.violation
		}
	}
	if s.sound >= minSoundRequests && float64(s.refused) > (1-soundBound)*float64(s.sound) {
		s.recordViolation("sound requests are served after the crash of a domain", "%d of %d were refused, %d gateways", s.refused, s.sound, len(s.gateways))
	}

	return s.violation
}

func newDomainCrashSimulation(c Chooser, variant CrashVariant) *crashSimulation {
	s := &crashSimulation{choose: c, variant: variant, now: timekeeper.Second, minRunTime: 100}
	for range 1 + c(maxDomainGateways) {
		s.gateways = append(s.gateways, s.startGateway())
	}
	for range 4 + c(40) {
		s.endpoints = append(s.endpoints, s.startEndpoint())
	}
	if c.oneIn(2) {
		s.minRunTime = c.duration(maxMinRunTime)
	} else {
		s.crashers = append(s.crashers, &crasher{
			suspect:  quarantiner.Suspect{ID: 1, Kind: quarantiner.KindPart},
			interval: 100 + c.duration(1900),
			nextAt:   s.now + c.duration(4*timekeeper.Second),
		})
	}

	return s
}

// restartGateways starts all gateways anew; those before have forgotten what crashed.
func (s *crashSimulation) restartGateways() {
	for n := range s.gateways {
		s.gateways[n] = s.startGateway()
	}
	for _, e := range s.endpoints {
		e.runs = nil
	}
	for _, c := range s.crashers {
		c.crashes = nil
	}
}

// crashDomain ends all endpoints at once. Each gateway loses the requests that it runs there within maxLossDelay.
func (s *crashSimulation) crashDomain() {
	outage := s.choose.duration(maxDomainOutage)
	for _, e := range s.endpoints {
		crash := quarantiner.NewCrashID(e.id, 0)
		for _, run := range e.runs {
			run.gateway.tracker.RecordLost(crash, run.suspects, s.now+s.choose.duration(maxLossDelay))
		}
		for _, run := range e.runs {
			run.gateway.tracker.RecordCrash(crash, s.now+maxLossDelay)
		}
		*e = *s.startEndpoint()
		e.downUntil = s.now + outage
	}
}
