package worker

import (
	"testing"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/sidecar/internal/settings"
)

// The refusal of a quarantined request must tell the caller when the quarantine ends.
func TestQuarantinedRequestRefusalHasRetryAfter(t *testing.T) {
	clock := timekeeper.NewManualClock(timekeeper.Hour).Clock()
	s := settings.NewSettings()
	f := follower.NewFollower(s.Settings, model.RoleSidecar, nil, clock, logger.NewDiscard())
	w, err := NewWorker(s, f, tracer.NewDisabledTracer())
	if err != nil {
		t.Fatal(err)
	}
	const fingerprint = 7
	f.WithView(func(v follower.View) {
		r := quarantiner.CrashRecord{Fingerprint: fingerprint, Crashes: quarantiner.QuarantineThreshold, ExpiresIn: timekeeper.Minute}
		v.Quarantine.Merge(r, clock.Now())
	})
	j := w.newJob(&messenger.RunRequest{Fingerprint: fingerprint}, nil)
	refusal := w.waitForGuard(t.Context(), j)
	if refusal == nil || !refusal.IsFinal || refusal.RetryAfter != timekeeper.Minute {
		t.Fatalf("refusal %+v, want a final one with a retry after one minute", refusal)
	}
}
