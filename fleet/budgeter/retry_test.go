package budgeter

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestNoRetryStormAfterADomainIsLost(t *testing.T) {
	const (
		requests      = 10_000
		mostPerFirst  = 1.2
		maxRetries    = 3
		lostOneInFive = 5
	)
	amplification := func(spend func(*Retries, timekeeper.Millis) bool) float64 {
		r := NewRetries(Terms{Ratio: 0.1, Slack: 60, Window: 10 * timekeeper.Second})
		attempts := 0
		for n := range requests {
			now := timekeeper.Millis(n)
			attempts++
			r.Earn("s", now)
			for try := 0; try < maxRetries && (n+try)%lostOneInFive == 0 || (n%2 == 0 && try < maxRetries); try++ {
				if !spend(r, now) {
					break
				}
				attempts++
			}
		}

		return float64(attempts) / requests
	}
	if got := amplification(func(r *Retries, now timekeeper.Millis) bool { return r.Spend("s", 1, now) }); got > mostPerFirst {
		t.Fatalf("amplification %.2f", got)
	}
	if naive := amplification(func(*Retries, timekeeper.Millis) bool { return true }); naive <= mostPerFirst {
		t.Fatalf("the naive variant amplifies by %.2f only", naive)
	}
}
