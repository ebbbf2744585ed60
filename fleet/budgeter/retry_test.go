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

// While the budget is nearly spent, less urgent requests leave the rest to the most urgent ones, and the sum is that of a service whose
// requests are all alike.
func TestLastPartOfBudgetIsForMostUrgent(t *testing.T) {
	const requests = 200
	limits := RetryLimits{Ratio: 0.2, Slack: 30, Window: 10 * timekeeper.Second}
	spend := func(b *RetryBudget, d Draw) int {
		n := 0
		for b.TrySpend("s", d, 1) {
			n++
		}

		return n
	}
	newBudget := func() *RetryBudget {
		b := NewRetryBudget(limits)
		for range requests {
			b.RecordRequest("s", 1)
		}

		return b
	}
	urgent, other := Draw{Gateways: 1, Priority: 1, MostUrgent: 1}, Draw{Gateways: 1, Priority: 2, MostUrgent: 1}
	all := spend(newBudget(), Draw{Gateways: 1})
	if want := int(usableShare * (limits.Ratio*requests + limits.Slack/maxStartsPerWindow)); all != want {
		t.Errorf("%d retries spent, want %d", all, want)
	}
	b := newBudget()
	spentByOthers := spend(b, other)
	if want := all - all/3; spentByOthers != want {
		t.Errorf("less urgent requests spent %d of %d, want %d", spentByOthers, all, want)
	}
	if got := spentByOthers + spend(b, urgent); got != all {
		t.Errorf("%d spent in total, want %d", got, all)
	}
	b = newBudget()
	if got := spend(b, urgent); got != all || b.TrySpend("s", other, 1) {
		t.Errorf("the most urgent requests spent %d of %d", got, all)
	}
}

// A budget of one or two retries is open to all, so that no kind of request goes without for ever.
func TestSmallBudgetIsOpenToAll(t *testing.T) {
	b := NewRetryBudget(RetryLimits{Ratio: 0.25, Window: 10 * timekeeper.Second})
	for range 10 {
		b.RecordRequest("s", 1)
	}
	spent := 0
	for b.TrySpend("s", Draw{Priority: 2, MostUrgent: 1}, 1) {
		spent++
	}
	if spent != 2 {
		t.Errorf("less urgent requests spent %d of a budget of two retries", spent)
	}
}

// A retry that is not made counts for nothing, and one that has left the window cannot come back.
func TestRetryThatIsNotMadeIsGivenBack(t *testing.T) {
	const window = 10 * timekeeper.Second
	b := NewRetryBudget(RetryLimits{Ratio: 0.25, Window: window})
	take := func(want bool, now timekeeper.Millis) {
		t.Helper()
		if got := b.TrySpend("s", Draw{}, now); got != want {
			t.Fatalf("retry at %d allowed: %v, want %v", now, got, want)
		}
	}
	for range 5 {
		b.RecordRequest("s", 1)
	}
	take(true, 1)
	take(false, 2)
	b.GiveBack("s", 1, window/2)
	take(true, window/2)
	take(false, window/2)
	for range 5 {
		b.RecordRequest("s", 2*window)
	}
	take(true, 2*window)
	b.GiveBack("s", window/2, 2*window)
	take(false, 2*window)
}
