package exchanger

import (
	"errors"
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func TestMerge(t *testing.T) {
	const now = timekeeper.Hour
	order := []model.EndpointID{"a"}
	cases := []struct {
		name   string
		held   Load
		vector []byte
		want   int
		err    error
	}{
		{"newer", Load{Running: 1, State: StateWarm, ObservedAt: now - timekeeper.Minute}, []byte{9, byte(StateWarm) << stateShift}, 9, nil},
		{"older", Load{Running: 1, State: StateWarm, ObservedAt: now}, []byte{9, byte(StateWarm)<<stateShift | 20}, 1, nil},
		{"never seen", Load{Running: 1, State: StateWarm, ObservedAt: 0}, []byte{9, byte(StateWarm)<<stateShift | unknownAge}, 1, nil},
		{"unknown state", Load{Running: 1, State: StateWarm, ObservedAt: 0}, []byte{9, 0}, 1, nil},
		{"state out of range", Load{Running: 1, State: StateWarm, ObservedAt: 0}, []byte{9, 6 << stateShift}, 1, nil},
		{"size of another configuration", Load{Running: 1, State: StateWarm, ObservedAt: 0}, []byte{9}, 1, ErrVectorSize},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.Reset(order)
			table.Observe(0, c.held)
			if err := table.Merge(c.vector, now); !errors.Is(err, c.err) {
				t.Fatalf("err = %v", err)
			}
			if got := table.Get(0).Running; got != c.want {
				t.Fatalf("running = %d, want %d", got, c.want)
			}
		})
	}
}

func TestExchangedLoadNeverAppearsNewer(t *testing.T) {
	order := []model.EndpointID{"a"}
	a, b := NewTable(), NewTable()
	a.Reset(order)
	b.Reset(order)
	a.Observe(0, Load{Running: 3, State: StateWarm, ObservedAt: 1000})
	for now := timekeeper.Millis(1000); now < 60_000; now += 777 {
		if err := b.Merge(a.Encode(now, nil), now); err != nil {
			t.Fatal(err)
		}
		if err := a.Merge(b.Encode(now, nil), now); err != nil {
			t.Fatal(err)
		}
		if a.Get(0).ObservedAt > 1000 || b.Get(0).ObservedAt > 1000 {
			t.Fatalf("a load observed at 1000 is dated %d and %d", a.Get(0).ObservedAt, b.Get(0).ObservedAt)
		}
	}
}
