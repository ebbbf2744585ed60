package quarantiner

import (
	"testing"

	"cardamompulley/fleet/model"
)

func TestCrashIsolatesAndQuarantines(t *testing.T) {
	const culprit, innocent = model.Fingerprint(1), model.Fingerprint(2)
	table := NewSuspectTable()
	g := NewGuard(table)
	admit := func(f model.Fingerprint, want Decision) {
		t.Helper()
		if got := g.Admit(f, 0); got != want {
			t.Fatalf("decision on request %d is %s, want %s", f, got, want)
		}
	}
	admit(culprit, DecisionRun)
	admit(innocent, DecisionRun)
	if blamed := g.RecordCrash(1, 0); len(blamed) != 2 {
		t.Fatalf("%d requests blamed, want 2", len(blamed))
	}
	admit(innocent, DecisionRun)
	admit(culprit, DecisionWait)
	g.Finish(innocent, 0)
	if table.Crashes(SuspectID(innocent), 0) != 0 {
		t.Fatal("the innocent request is still a suspect after it ran alone")
	}
	admit(culprit, DecisionRun)
	admit(3, DecisionWait)
	g.RecordCrash(2, 0)
	admit(culprit, DecisionRefuse)
	admit(innocent, DecisionRun)
	if table.QuarantinedFor(culprit, recordLifetime) > 0 {
		t.Fatal("still quarantined after the crash record has expired")
	}
}

func TestCrashesSeenByDifferentSidecarsAddUp(t *testing.T) {
	const culprit = model.Fingerprint(1)
	first, second := NewSuspectTable(), NewSuspectTable()
	guards := []*Guard{NewGuard(first), NewGuard(second)}
	for n, g := range guards {
		g.Admit(culprit, 0)
		g.RecordCrash(CrashID(n), 0)
	}
	second.MergeEncoded(EncodeSuspicions(first.Share(1<<20, 0)), 0)
	if got := guards[1].Admit(culprit, 0); got != DecisionRefuse {
		t.Fatalf("decision %s after crashes at two sidecars, want %s", got, DecisionRefuse)
	}
}
