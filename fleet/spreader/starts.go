package spreader

import "cardamompulley/fleet/timekeeper"

// startsKept is the number of newest starts that are remembered. So many unseen starts of each gateway fill an endpoint in a fleet of tens.
const startsKept = 8

// Starts remembers when a gateway has last sent requests to an endpoint. The zero value has sent none.
type Starts struct {
	times [startsKept]timekeeper.Millis
	next  int
}

// Record records a start.
func (s *Starts) Record(now timekeeper.Millis) {
	s.times[s.next] = now
	s.next = (s.next + 1) % startsKept
}

// Recent returns the number of starts within an age, startsKept at most.
func (s *Starts) Recent(age, now timekeeper.Millis) int {
	for n := range startsKept {
		if t := s.times[(s.next+startsKept-1-n)%startsKept]; t == 0 || now-t >= age {
			return n
		}
	}

	return startsKept
}

// Unseen returns the load that others have begun at an endpoint since their reports, at least usual, what they usually begin in that time.
//
// Load that it answers: one that grows within the age of the reports, as when one client account sends many times its usual. Gateways get
// like shares of it, so the own starts in that time are a sample of what each of the others has begun. The estimate is the mean of the gamma
// distribution that an exponential one around the usual load and the sample leave. The first start says nothing: all sessions have one.
func Unseen(usual float64, own, others int) float64 {
	if others == 0 || own < 2 {
		return usual
	}

	return max(usual, usual*float64(own)/(1+usual/float64(others)))
}
