package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// blameSpan is how long before a crash was seen a lost request may have caused it.
	blameSpan = 2 * timekeeper.Second
	// maxSuspects bounds the suspects remembered for an endpoint.
	maxSuspects = 128
	// GatewayCrashes is the number of crashes after which a gateway refuses a request; it is above CondemnedCrashes
	// since a gateway cannot run suspects alone.
	GatewayCrashes = 3
)

type suspect struct {
	fingerprint model.Fingerprint
	at          timekeeper.Millis
}

// Suspects are the requests whose connections were lost at endpoints that may have crashed.
type Suspects struct {
	Register *Register

	lost map[model.EndpointID][]suspect
}

// NewSuspects returns suspects over the register of a process.
func NewSuspects(r *Register) *Suspects {
	return &Suspects{Register: r, lost: map[model.EndpointID][]suspect{}}
}

// Lost notes a request whose connection broke before it was answered.
func (s *Suspects) Lost(id model.EndpointID, f model.Fingerprint, now timekeeper.Millis) {
	known := s.lost[id]
	for len(known) > 0 && (now-known[0].at > blameSpan || len(known) >= maxSuspects) {
		known = known[1:]
	}
	s.lost[id] = append(known, suspect{fingerprint: f, at: now})
}

// Crashed marks what was lately lost at an endpoint that nobody listens for any more, once a crash.
func (s *Suspects) Crashed(id model.EndpointID, now timekeeper.Millis) {
	for _, x := range s.lost[id] {
		if now-x.at <= blameSpan {
			m := Mark{Fingerprint: x.fingerprint, Crashes: s.Register.Crashes(x.fingerprint, now) + 1, ExpiresIn: markLifetime}
			s.Register.Learn(m, now)
		}
	}
	delete(s.lost, id)
}

// Refused tells whether a request has crashed so many endpoints that it is not sent again, and for how long.
func (s *Suspects) Refused(f model.Fingerprint, now timekeeper.Millis) (bool, timekeeper.Millis) {
	if s.Register.Crashes(f, now) < GatewayCrashes {
		return false, 0
	}
	_, span := s.Register.Condemned(f, now)

	return true, span
}
