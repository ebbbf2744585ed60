package resumer

import (
	"testing"

	"cardamompulley/fleet/model"
)

func TestResolve(t *testing.T) {
	known := func(software model.SoftwareVersion) Report { return Report{IsKnown: true, Software: software} }
	seen := func(isComplete, isFresh bool, versions ...model.SoftwareVersion) Report {
		return Report{Seen: versions, IsComplete: isComplete, IsFresh: isFresh}
	}
	cases := []struct {
		name       string
		reports    []Report
		unanswered int
		want       model.SoftwareVersion
	}{
		{"nobody knows anything", nil, 0, ""},
		{"one knows", []Report{seen(true, true, "v1", "v2"), known("v1")}, 3, "v1"},
		{"one knows better than those that have seen one version", []Report{seen(true, true, "v2"), known("v1")}, 0, "v1"},
		{"two know the same", []Report{known("v1"), known("v1")}, 0, "v1"},
		{"two differ", []Report{known("v1"), known("v2"), known("v1")}, 0, ""},
		{"one is uncertain", []Report{known("v1"), known("")}, 0, ""},
		{"only one version has served", []Report{seen(true, false, "v1")}, 0, "v1"},
		{"one version, by a short history", []Report{seen(false, true, "v1")}, 0, ""},
		{"one version, by another's long history", []Report{seen(false, false, "v1"), seen(true, false, "v1")}, 0, "v1"},
		{"another has seen a second version", []Report{seen(true, true, "v1"), seen(false, false, "v1", "v2")}, 0, ""},
		{"an unnamed version has served", []Report{seen(true, true, "", "v1")}, 0, ""},
		{"only an unnamed version has served", []Report{seen(true, true, "")}, 0, ""},
		{"one has not answered, by an old list", []Report{seen(true, false, "v1")}, 1, ""},
		{"one has not answered, by a fresh list", []Report{seen(true, true, "v1")}, 1, "v1"},
		{"one has not answered, by a fresh list and another's long history", []Report{seen(false, true, "v1"), seen(true, false, "v1")}, 1, ""},
	}
	for _, c := range cases {
		got, ok := Resolve(c.reports, c.unanswered)
		if ok != (c.want != "") || ok && got != c.want {
			t.Errorf("%s: %q, resolved: %v, want %q", c.name, got, ok, c.want)
		}
	}
}
