package resumer

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func always(model.ServiceID) bool { return true }

func never(model.ServiceID) bool { return false }

// streamStart returns a stream that can be resumed for ten seconds.
func streamStart(key StreamKey, software model.SoftwareVersion, id model.EndpointID) StreamStart {
	return StreamStart{Origin: Origin{Key: key, Software: software, Until: 10 * timekeeper.Second}, Service: "s", Endpoint: id}
}

func TestOriginsThatDifferAreUncertain(t *testing.T) {
	cases := []struct {
		name     string
		software []model.SoftwareVersion
		want     model.SoftwareVersion
	}{
		{"one", []model.SoftwareVersion{"v1"}, "v1"},
		{"the same twice", []model.SoftwareVersion{"v1", "v1"}, "v1"},
		{"two versions", []model.SoftwareVersion{"v1", "v2"}, ""},
		{"two versions, then the first again", []model.SoftwareVersion{"v1", "v2", "v1"}, ""},
		{"unknown", []model.SoftwareVersion{""}, ""},
		{"sent as uncertain", []model.SoftwareVersion{"v1", ""}, ""},
	}
	for _, c := range cases {
		table := NewOriginTable()
		for n, software := range c.software {
			if n == 0 {
				table.RecordStart(streamStart(1, software, "e"), 0)
			} else {
				table.Merge(Origin{Key: 1, Software: software, Until: 5 * timekeeper.Second}, 1)
			}
		}
		if got, ok := table.Find(1, 2); !ok || got != c.want {
			t.Errorf("%s: %q, known: %v, want %q", c.name, got, ok, c.want)
		}
	}
}

func TestOriginsAreSentOnlyWhereNeeded(t *testing.T) {
	table := NewOriginTable()
	table.RecordStart(streamStart(1, "v1", "e"), 0)
	table.Merge(Origin{Key: 2, Software: "v1", Until: timekeeper.Second}, 0)
	if taken := table.TakeUnsent(never, 1); len(taken) != 0 {
		t.Fatalf("%d origins are sent although nobody needs them", len(taken))
	}
	for n := range 10 {
		taken := table.TakeUnsent(always, 1)
		if len(taken) != 1 || taken[0].Key != 1 {
			t.Fatalf("attempt %d: sent %+v, want the stream that began here", n, taken)
		}
		if again := table.TakeUnsent(always, 1); len(again) != 0 {
			t.Fatalf("attempt %d: %d origins are sent twice", n, len(again))
		}
		table.ReturnUnsent(taken)
	}
	if taken := table.TakeUnsent(always, 10*timekeeper.Second); len(taken) != 0 {
		t.Fatalf("%d origins are sent of streams that nobody can resume any more", len(taken))
	}
}

func TestOriginsThatBecomeUncertainAreSentAgain(t *testing.T) {
	table := NewOriginTable()
	table.RecordStart(streamStart(1, "v1", "e"), 100)
	table.RecordStart(streamStart(2, "v1", "e"), 200)
	table.RecordStart(streamStart(3, "v1", "other"), 200)
	table.TakeUnsent(always, 200)
	table.MarkUncertain("e", 150)
	taken := table.TakeUnsent(never, 200)
	if len(taken) != 1 || taken[0].Key != 2 || taken[0].Software != "" {
		t.Fatalf("sent %+v, want the second stream as uncertain", taken)
	}
	if software, _ := table.Find(1, 200); software != "v1" {
		t.Fatalf("the stream that began before is of %q", software)
	}
}

// Guards against a table that grows with what others send.
func TestOriginTableIsBounded(t *testing.T) {
	table := NewOriginTable()
	for n := range maxOrigins + 100 {
		table.Merge(Origin{Key: StreamKey(n), Software: "v1", Until: 10 * timekeeper.Second}, 0)
	}
	if table.Count() != maxOrigins || table.Evicted != 100 {
		t.Fatalf("%d origins, %d evicted", table.Count(), table.Evicted)
	}
	if _, ok := table.Find(0, 1); ok {
		t.Error("the oldest origin is still there")
	}
	table.Expire(10 * timekeeper.Second)
	if table.Count() != 0 || len(table.order) != 0 {
		t.Errorf("%d origins and %d keys after their time", table.Count(), len(table.order))
	}
}
