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
	var quarantinedFor timekeeper.Millis
	f.WithView(func(v follower.View) {
		for n := range quarantiner.QuarantineThreshold {
			v.Suspects.Add(fingerprint, quarantiner.CrashID(n), clock.Now())
		}
		quarantinedFor = v.Suspects.QuarantinedFor(fingerprint, clock.Now())
	})
	j := w.newJob(&messenger.RunRequest{Fingerprint: fingerprint}, nil)
	refusal := w.waitForGuard(t.Context(), j)
	if refusal == nil || !refusal.IsFinal || quarantinedFor < timekeeper.Minute || refusal.RetryAfter != quarantinedFor {
		t.Fatalf("refusal %+v, want a final one with a retry after %d ms", refusal, quarantinedFor)
	}
}
