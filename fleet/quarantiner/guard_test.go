package quarantiner

import (
	"testing"

	"cardamompulley/fleet/model"
)

func TestCrashIsolatesAndQuarantines(t *testing.T) {
	const culprit, innocent = model.Fingerprint(1), model.Fingerprint(2)
	registry := NewRegistry()
	g := NewGuard(registry)
	admit := func(f model.Fingerprint, want Decision) {
		t.Helper()
		if got := g.Admit(f, 0); got != want {
			t.Fatalf("decision on request %d is %s, want %s", f, got, want)
		}
	}
	admit(culprit, DecisionRun)
	admit(innocent, DecisionRun)
	if records := g.RecordCrash(0); len(records) != 2 {
		t.Fatalf("%d crash records, want 2", len(records))
	}
	admit(innocent, DecisionRun)
	admit(culprit, DecisionWait)
	g.Finish(innocent)
	if registry.Crashes(innocent, 0) != 0 {
		t.Fatal("the innocent request is still a suspect after it ran alone")
	}
	admit(culprit, DecisionRun)
	admit(3, DecisionWait)
	g.RecordCrash(0)
	admit(culprit, DecisionRefuse)
	admit(innocent, DecisionRun)
	if isQuarantined, _ := registry.IsQuarantined(culprit, recordLifetime); isQuarantined {
		t.Fatal("still quarantined after the crash record has expired")
	}
}

func TestRegistryStaysBounded(t *testing.T) {
	r := NewRegistry()
	for n := range 3 * maxRecords {
		r.Merge(CrashRecord{Fingerprint: model.Fingerprint(n + 1), Crashes: 1, ExpiresIn: recordLifetime}, 0)
	}
	if len(r.records) > maxRecords || len(r.RecordsToShare(0)) > maxSharedRecords {
		t.Fatalf("%d crash records, %d of them shared", len(r.records), len(r.RecordsToShare(0)))
	}
}
