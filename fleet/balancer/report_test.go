package balancer

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// report builds a report from endpoints and counts in turn.
func report(gateway string, at timekeeper.Millis, pairs ...any) Report {
	r := Report{Gateway: CodeOf(gateway), At: at}
	for i := 0; i < len(pairs); i += 2 {
		r.Uses = append(r.Uses, Use{Endpoint: CodeOf(pairs[i].(string)), Running: pairs[i+1].(int)})
	}

	return r
}

func TestReportsReplaceEachOtherAndExpire(t *testing.T) {
	b := newTestBalancer()
	b.Start("e", 0)
	b.Report(report("other", 0, "e", 5, "f", 1), 0)
	b.Report(report("other", 10, "e", 2), 10)
	b.Report(report("third", 20, "e", 4), 20)
	b.Report(report("other", 5, "e", 9), 21)
	b.Report(report("self", 21, "e", 9), 21)
	if e, f := b.Load("e"), b.Load("f"); e != 7 || f != 0 {
		t.Fatalf("loads %d and %d", e, f)
	}
	b.Expire(10 + reportLifetime)
	if e := b.Load("e"); e != 5 {
		t.Fatalf("load %d after one report expired", e)
	}
}
