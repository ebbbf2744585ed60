package budgeter

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func TestNoticesEndWithTheRunThatGaveThem(t *testing.T) {
	const now = timekeeper.Hour
	leaver := model.EndpointProcess{ID: "e", StartedAt: 1}
	successor := model.EndpointProcess{ID: "e", StartedAt: 2}
	n := NewEndpointNotices()
	if !n.RecordLeaving(leaver, now) || n.RecordLeaving(leaver, now+1) {
		t.Error("an endpoint begins to leave twice, or never")
	}
	n.RecordBackoff(leaver, timekeeper.Second, now)
	if !n.IsLeaving(leaver) || n.IsLeaving(successor) || n.BackoffLeft(successor, now) > 0 {
		t.Error("a notice is of another run")
	}
	none := func(model.EndpointProcess) bool { return false }
	n.Prune(none, now+noticeLifetime-1)
	if !n.IsLeaving(leaver) {
		t.Error("the notice of a run that the list lacks for a while is forgotten")
	}
	n.Prune(none, now+noticeLifetime)
	if n.IsLeaving(leaver) || len(n.byProcess) > 0 {
		t.Error("the notice of a run that is gone is kept")
	}
}

func TestBackoffsEnd(t *testing.T) {
	const now = timekeeper.Hour
	p := model.EndpointProcess{ID: "e"}
	cases := []struct {
		name     string
		backoffs []timekeeper.Millis
		after    timekeeper.Millis
		left     timekeeper.Millis
	}{
		{"at the beginning", []timekeeper.Millis{3000}, 0, 3000},
		{"in the middle", []timekeeper.Millis{3000}, 1000, 2000},
		{"at the end", []timekeeper.Millis{3000}, 3000, 0},
		{"a shorter one does not shorten it", []timekeeper.Millis{3000, 200}, 0, 3000},
		{"a longer one prolongs it", []timekeeper.Millis{200, 3000}, 0, 3000},
	}
	for _, c := range cases {
		n := NewEndpointNotices()
		for _, backoff := range c.backoffs {
			n.RecordBackoff(p, backoff, now)
		}
		if left := n.BackoffLeft(p, now+c.after); left != c.left {
			t.Errorf("%s: %d ms are left, want %d", c.name, left, c.left)
		}
		n.Prune(func(model.EndpointProcess) bool { return true }, now+timekeeper.Minute)
		if len(n.byProcess) > 0 {
			t.Errorf("%s: a backoff that is over is kept", c.name)
		}
	}
}

func TestCallersComeBackInOrderAfterBackoff(t *testing.T) {
	const now = timekeeper.Hour
	p := model.EndpointProcess{ID: "e"}
	for _, backoff := range []timekeeper.Millis{200, 3000, 60_000} {
		n := NewEndpointNotices()
		n.RecordBackoff(p, backoff, now)
		last := timekeeper.Millis(0)
		for at := now; at < now+backoff; at += backoff / 20 {
			back := at + n.ReturnAfter(p, at)
			if back < now+backoff || back > now+backoff+maxReturnSpread || back <= last {
				t.Errorf("rest of %d ms: refused after %d, back after %d, the one before after %d", backoff, at-now, back-now, last-now)
			}
			last = back
		}
		if n.ReturnAfter(p, now+backoff) != 0 {
			t.Errorf("rest of %d ms: a caller is kept away after its end", backoff)
		}
	}
}

// Guards against notices that grow with what endpoints send.
func TestNoticesAreBounded(t *testing.T) {
	n := NewEndpointNotices()
	for i := range maxNotices + 10 {
		n.RecordBackoff(model.EndpointProcess{ID: "e", StartedAt: timekeeper.Millis(i)}, timekeeper.Minute, 1)
	}
	if len(n.byProcess) != maxNotices {
		t.Errorf("%d notices", len(n.byProcess))
	}
}
