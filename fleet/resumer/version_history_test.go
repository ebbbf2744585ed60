package resumer

import (
	"slices"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const testLinger = 5 * timekeeper.Second

// listOf returns endpoints of service s, one of each version.
func listOf(versions ...model.SoftwareVersion) []*cataloguer.Endpoint {
	var endpoints []*cataloguer.Endpoint
	for _, software := range versions {
		endpoints = append(endpoints, &cataloguer.Endpoint{Service: "s", Software: software})
	}

	return endpoints
}

func TestVersionsCountUntilTheirStreamsCannotBeResumed(t *testing.T) {
	h := NewVersionHistory(testLinger, 0)
	h.Observe(listOf("v1"), 0)
	h.Observe(listOf("v1", "v2"), 100*timekeeper.Second)
	h.Observe(listOf("v2"), 200*timekeeper.Second)
	cases := []struct {
		since  timekeeper.Millis
		want   []model.SoftwareVersion
		isSole bool
	}{
		{150 * timekeeper.Second, []model.SoftwareVersion{"v1", "v2"}, false},
		{200*timekeeper.Second + testLinger, []model.SoftwareVersion{"v1", "v2"}, false},
		{201*timekeeper.Second + testLinger, []model.SoftwareVersion{"v2"}, true},
	}
	for _, c := range cases {
		if got := h.Seen("s", c.since); !slices.Equal(got, c.want) || h.IsSole("s", c.since) != c.isSole {
			t.Errorf("since %d: %v, sole: %v, want %v", c.since, got, h.IsSole("s", c.since), c.want)
		}
	}
	if len(h.Seen("other", 0)) != 0 {
		t.Error("another service has versions")
	}
}

func TestSoleVersionNeedsWholeHistory(t *testing.T) {
	const start, now = 50 * timekeeper.Second, 60 * timekeeper.Second
	cases := []struct {
		name   string
		change func(*VersionHistory)
		since  timekeeper.Millis
		isSole bool
	}{
		{"since its start", func(*VersionHistory) {}, start, true},
		{"before its start", func(*VersionHistory) {}, start - 1, false},
		{"before its start, with old changes", func(h *VersionHistory) { h.Extend(30*timekeeper.Second, start) }, 30 * timekeeper.Second, true},
		{"before the old changes", func(h *VersionHistory) { h.Extend(30*timekeeper.Second, start) }, 29 * timekeeper.Second, false},
		{"after a gap", func(h *VersionHistory) { h.Restart(now) }, start, false},
		{"old changes from before a gap", func(h *VersionHistory) { h.Restart(now); h.Extend(0, start) }, start, false},
		{"another version has come and gone between two lists", func(h *VersionHistory) { h.RecordPast("s", "v2", start) }, start, false},
		{"an unnamed version", func(h *VersionHistory) { h.Observe(listOf(""), now) }, start, false},
	}
	for _, c := range cases {
		h := NewVersionHistory(testLinger, start)
		h.Observe(listOf("v1"), start)
		c.change(h)
		if got := h.IsSole("s", c.since); got != c.isSole {
			t.Errorf("%s: sole: %v, want %v", c.name, got, c.isSole)
		}
	}
}
