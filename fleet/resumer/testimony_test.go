package resumer

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func TestResolve(t *testing.T) {
	const maxSilence = 3 * timekeeper.Second
	known := func(software model.SoftwareVersion) Testimony { return Testimony{IsKnown: true, Software: software} }
	seen := func(isComplete bool, silence timekeeper.Millis, versions ...model.SoftwareVersion) Testimony {
		return Testimony{Seen: versions, IsComplete: isComplete, Silence: silence}
	}
	cases := []struct {
		name        string
		testimonies []Testimony
		unanswered  int
		want        model.SoftwareVersion
	}{
		{"nobody knows anything", nil, 0, ""},
		{"one knows", []Testimony{seen(true, 0, "v1", "v2"), known("v1")}, 3, "v1"},
		{"one knows better than those that have seen one version", []Testimony{seen(true, 0, "v2"), known("v1")}, 0, "v1"},
		{"two know the same", []Testimony{known("v1"), known("v1")}, 0, "v1"},
		{"two differ", []Testimony{known("v1"), known("v2"), known("v1")}, 0, ""},
		{"one is uncertain", []Testimony{known("v1"), known("")}, 0, ""},
		{"only one version has served", []Testimony{seen(true, 0, "v1")}, 2, "v1"},
		{"one version, by a short history", []Testimony{seen(false, 0, "v1")}, 0, ""},
		{"one version, by another's long history", []Testimony{seen(false, 0, "v1"), seen(true, 0, "v1")}, 0, "v1"},
		{"another has seen a second version", []Testimony{seen(true, 0, "v1"), seen(false, 0, "v1", "v2")}, 0, ""},
		{"an unknown version has served", []Testimony{seen(true, 0, "", "v1")}, 0, ""},
		{"only an unknown version has served", []Testimony{seen(true, 0, "")}, 0, ""},
		{"the store is silent and all have answered", []Testimony{seen(true, maxSilence+1, "v1"), seen(true, maxSilence+1, "v1")}, 0, "v1"},
		{"the store is silent and one has not answered", []Testimony{seen(true, maxSilence+1, "v1")}, 1, ""},
		{"the store is silent here and not elsewhere", []Testimony{seen(true, maxSilence+1, "v1"), seen(true, 0, "v1")}, 1, "v1"},
		{"the store is silent here, elsewhere the history is short", []Testimony{seen(true, maxSilence+1, "v1"), seen(false, 0, "v1")}, 1, ""},
	}
	for _, c := range cases {
		got, ok := Resolve(c.testimonies, c.unanswered, maxSilence)
		if ok != (c.want != "") || ok && got != c.want {
			t.Errorf("%s: %q, resolved: %v, want %q", c.name, got, ok, c.want)
		}
	}
}
