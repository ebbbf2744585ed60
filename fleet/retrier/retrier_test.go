package retrier

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestDecideTable(t *testing.T) {
	const late = timekeeper.Minute
	repeatable := Policy{Repeatable: true, Deadline: late}
	once := Policy{Deadline: late}
	cases := []struct {
		name    string
		request Request
		fault   Fault
		want    Action
		// charged is whether the budget was asked.
		charged bool
	}{
		{"not run", Request{Policy: once}, Fault{Arrived: true}, ActionRetry, true},
		{"reached nobody", Request{Policy: once}, Fault{}, ActionRetry, false},
		{"reached nobody after an arrival", Request{Policy: once, Arrivals: 1}, Fault{}, ActionRetry, true},
		{"may have run, not repeatable", Request{Policy: once}, Fault{Arrived: true, MayHaveRun: true}, ActionGiveUp, false},
		{"may have run, repeatable", Request{Policy: repeatable}, Fault{Arrived: true, MayHaveRun: true}, ActionRetry, true},
		{"runs used up", Request{Policy: Policy{Repeatable: true, MaxRuns: 2, Deadline: late}, Runs: 1}, Fault{Arrived: true, MayHaveRun: true}, ActionGiveUp, false},
		{"runs left", Request{Policy: Policy{Repeatable: true, MaxRuns: 3, Deadline: late}, Runs: 1}, Fault{Arrived: true, MayHaveRun: true}, ActionRetry, true},
		{"handed on", Request{Policy: once}, Fault{Redirected: true}, ActionRedirect, false},
		{"redirects used up", Request{Policy: once, Redirects: maxRedirects}, Fault{Redirected: true}, ActionGiveUp, false},
		{"just in time", Request{Policy: Policy{Repeatable: true, Deadline: 10}}, Fault{}, ActionRetry, false},
		{"less time than an attempt takes", Request{Policy: Policy{Repeatable: true, Deadline: 10, MinLeft: 10}}, Fault{}, ActionGiveUp, false},
		{"deadline over", Request{Policy: Policy{Repeatable: true}}, Fault{}, ActionGiveUp, false},
		{"final", Request{Policy: repeatable}, Fault{Arrived: true, Final: true}, ActionGiveUp, false},
		{"retries used up", Request{Policy: Policy{Repeatable: true, MaxRetries: 3, Deadline: late}, Retries: 3}, Fault{}, ActionGiveUp, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			charged := false
			spend := func() bool {
				charged = true

				return true
			}
			if got := c.request.Decide(c.fault, spend, 0); got != c.want || charged != c.charged {
				t.Fatalf("action = %s, charged = %v, want %s, %v", got, charged, c.want, c.charged)
			}
		})
	}
	empty := Request{Policy: repeatable}
	if got := empty.Decide(Fault{Arrived: true}, func() bool { return false }, 0); got != ActionNoBudget {
		t.Fatalf("action = %s with an empty budget", got)
	}
}

func TestBreakerTable(t *testing.T) {
	b := &Breaker{}
	if b.Blocked(0) {
		t.Fatal("a fresh breaker blocks")
	}
	b.Fail(0)
	if !b.Blocked(firstBlock-1) || b.Blocked(firstBlock) {
		t.Fatal("the first block has the wrong length")
	}
	b.Start(firstBlock)
	if !b.Blocked(firstBlock) {
		t.Fatal("two probes at once")
	}
	b.Fail(firstBlock)
	if !b.Blocked(firstBlock + 2*firstBlock - 1) {
		t.Fatal("a failed probe does not lengthen the block")
	}
	b.Start(3 * firstBlock)
	if !b.Blocked(3 * firstBlock) {
		t.Fatal("a second probe while one is out")
	}
	b.Succeed()
	if b.Blocked(firstBlock) {
		t.Fatal("success does not close the breaker")
	}
}
