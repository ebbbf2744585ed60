package forwarder

import (
	"bytes"
	"strings"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/throttler"
	"cardamompulley/fleet/timekeeper"
)

// The end of a shortage names the requests refused in it, not those of earlier ones.
func TestEndOfShortageLogsItsOwnRefusals(t *testing.T) {
	const target = 60 * timekeeper.Millis(1)
	var out bytes.Buffer
	r := newRoom("s", logger.NewLogger(&out, "p"))
	c := throttler.Capacity{Endpoints: 1, Gateways: 1}
	shortage := func(now timekeeper.Millis, refusals int) {
		for range 2 {
			r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: target}, c, now)
			r.finish(throttler.OutcomeRejected, now, 0, target, now)
		}
		r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: target}, c, now)
		for range refusals {
			r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: target, Deadline: now + 1}, c, now)
		}
		r.finish(throttler.OutcomeUnknown, now, 0, target, now)
		r.update(c, now+2*timekeeper.Second)
	}
	shortage(timekeeper.Minute, 3)
	shortage(2*timekeeper.Minute, 5)
	var ends []string
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "service-has-room") {
			ends = append(ends, line)
		}
	}
	if len(ends) != 2 || !strings.Contains(ends[0], "refused=3") || !strings.Contains(ends[1], "refused=5") {
		t.Errorf("ends of shortages %q, want two with 3 and 5 refused", ends)
	}
}
