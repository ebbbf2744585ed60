package balancer

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// report returns a load report; pairs alternates between endpoints and their running requests.
func report(gateway string, at timekeeper.Millis, pairs ...any) LoadReport {
	r := LoadReport{Gateway: HashName(gateway), CountedAt: at}
	for i := 0; i < len(pairs); i += 2 {
		r.Loads = append(r.Loads, EndpointLoad{Endpoint: HashName(pairs[i].(string)), Running: pairs[i+1].(int)})
	}

	return r
}

func TestLoadReportsReplaceEachOtherAndExpire(t *testing.T) {
	b := newTestBalancer()
	b.RecordStart("e", 0)
	b.MergeReport(report("other", 0, "e", 5, "f", 1), 0)
	b.MergeReport(report("other", 10, "e", 2), 10)
	b.MergeReport(report("third", 20, "e", 4), 20)
	b.MergeReport(report("other", 5, "e", 9), 21)
	b.MergeReport(report("self", 21, "e", 9), 21)
	if e, f := b.Load("e"), b.Load("f"); e != 7 || f != 0 {
		t.Fatalf("loads are %d and %d, want 7 and 0", e, f)
	}
	b.ExpireReports(10 + reportLifetime)
	if e := b.Load("e"); e != 5 {
		t.Fatalf("load is %d after one report expired, want 5", e)
	}
}
