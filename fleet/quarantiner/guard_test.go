package quarantiner

import (
	"testing"

	"cardamompulley/fleet/model"
)

func TestCrashIsolatesAndCondemns(t *testing.T) {
	const culprit, innocent = model.Fingerprint(1), model.Fingerprint(2)
	register := NewRegister()
	g := NewGuard(register)
	start := func(f model.Fingerprint, want Verdict) {
		t.Helper()
		if got := g.Start(f, 0); got != want {
			t.Fatalf("start of %d: %s, want %s", f, got, want)
		}
	}
	start(culprit, VerdictRun)
	start(innocent, VerdictRun)
	if marks := g.Crash(0); len(marks) != 2 {
		t.Fatalf("%d marks", len(marks))
	}
	start(innocent, VerdictRun)
	start(culprit, VerdictWait)
	g.Finish(innocent)
	if register.Crashes(innocent, 0) != 0 {
		t.Fatal("the innocent is still suspected after it ran alone")
	}
	start(culprit, VerdictRun)
	start(3, VerdictWait)
	g.Crash(0)
	start(culprit, VerdictCondemned)
	start(innocent, VerdictRun)
	if condemned, _ := register.Condemned(culprit, markLifetime); condemned {
		t.Fatal("a mark does not expire")
	}
}

func TestRegisterStaysBounded(t *testing.T) {
	r := NewRegister()
	for n := range 3 * maxMarks {
		r.Learn(Mark{Fingerprint: model.Fingerprint(n + 1), Crashes: 1, ExpiresIn: markLifetime}, 0)
	}
	if len(r.marks) > maxMarks || len(r.Share(0)) > maxShared {
		t.Fatalf("%d marks, %d shared", len(r.marks), len(r.Share(0)))
	}
}
