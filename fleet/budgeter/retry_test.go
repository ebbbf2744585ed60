package budgeter

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// Guards against a retry storm after the loss of a failure domain: retries must not raise the attempts per request above
// maxPerRequest. The same load without a budget has to exceed it, otherwise the test would show nothing.
func TestNoRetryStormAfterFailureDomainLoss(t *testing.T) {
	const (
		requests      = 10_000
		maxPerRequest = 1.2
		maxRetries    = 3
		lostOneInFive = 5
	)
	amplification := func(trySpend func(*RetryBudget, timekeeper.Millis) bool) float64 {
		b := NewRetryBudget(RetryLimits{Ratio: 0.1, Slack: 60, Window: 10 * timekeeper.Second})
		attempts := 0
		for n := range requests {
			now := timekeeper.Millis(n)
			attempts++
			b.RecordRequest("s", now)
			for try := 0; try < maxRetries && (n+try)%lostOneInFive == 0 || (n%2 == 0 && try < maxRetries); try++ {
				if !trySpend(b, now) {
					break
				}
				attempts++
			}
		}

		return float64(attempts) / requests
	}
	if got := amplification(func(b *RetryBudget, now timekeeper.Millis) bool { return b.TrySpend("s", Draw{Gateways: 1}, now) }); got > maxPerRequest {
		t.Fatalf("%.2f attempts per request, want at most 1.2", got)
	}
	if unlimited := amplification(func(*RetryBudget, timekeeper.Millis) bool { return true }); unlimited <= maxPerRequest {
		t.Fatalf("%.2f attempts per request without a budget: the load would not show a retry storm", unlimited)
	}
}
