package launcher_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/google/uuid"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
)

func TestBookingCutAfterTheRun(t *testing.T) {
	f := launch(t, nil)
	for _, id := range []model.EndpointID{"lane-1", "lane-2"} {
		if err := f.SetFaults(id, map[string]any{"cut-after-run": true}); err != nil {
			t.Fatal(err)
		}
	}
	key := newKey(t)
	for n := range 4 {
		if r := book(t, callerOf(f, n%2), key); r.Outcome != string(model.OutcomeUnknown) {
			t.Fatalf("send %d: %+v", n, r)
		}
	}
	wantAtMostOneRun(t, f, key)
}

func TestBookingHomeKilledAndBack(t *testing.T) {
	f := launch(t, nil)
	key := newKey(t)
	first := book(t, callerOf(f, 0), key)
	if first.Status != http.StatusCreated {
		t.Fatalf("first send: %+v", first)
	}
	home := model.EndpointID(first.Endpoint)
	work := f.Sidecars[home].Address("work")
	f.Sidecars[home].Kill()
	if r := book(t, callerOf(f, 1), key); r.Outcome != string(model.OutcomeUnknown) {
		t.Fatalf("send while the home is gone: %+v", r)
	}
	if err := f.StartSidecar(home, work); err != nil {
		t.Fatal(err)
	}
	if err := f.PublishVMs(); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	if r := book(t, callerOf(f, 1), key); r.Outcome != string(model.OutcomeUnknown) {
		t.Fatalf("send after the home is back: %+v", r)
	}
	wantAtMostOneRun(t, f, key)
}

func TestBookingSentManyTimesAtOnce(t *testing.T) {
	f := launch(t, nil)
	for _, id := range []model.EndpointID{"lane-1", "lane-2"} {
		if err := f.SetFaults(id, map[string]any{"delay-ms": 200}); err != nil {
			t.Fatal(err)
		}
	}
	key := newKey(t)
	var sends sync.WaitGroup
	for n := range 10 {
		sends.Add(1)
		go func() {
			defer sends.Done()
			if r := book(t, callerOf(f, n%2), key); r.Status != http.StatusCreated {
				t.Errorf("send %d: %+v", n, r)
			}
		}()
	}
	sends.Wait()
	wantAtMostOneRun(t, f, key)
}

func TestBookingHomeMoved(t *testing.T) {
	f := launch(t, nil)
	key := newKey(t)
	first := book(t, callerOf(f, 0), key)
	if first.Status != http.StatusCreated {
		t.Fatalf("first send: %+v", first)
	}
	moveHomes(t, f, model.EndpointID(first.Endpoint))
	again := book(t, callerOf(f, 1), key)
	wantAtMostOneRun(t, f, key)
	if again.Status != http.StatusCreated || !again.Replayed {
		t.Fatalf("send to the new home: %+v", again)
	}
}

// moveHomes declares the other plain service the only home and waits until both routers hold the patch.
func moveHomes(t *testing.T, f *launcher.Fleet, from model.EndpointID) {
	t.Helper()
	to := model.EndpointID("lane-1")
	if from == to {
		to = "lane-2"
	}
	homes := append(f.Document().Fleet.Services[launcher.PlainService].Homes,
		model.HomeGeneration{Number: 2, Endpoints: []model.EndpointID{to}})
	patch(t, f, 2, map[string]any{"fleet": map[string]any{"services": map[string]any{
		string(launcher.PlainService): map[string]any{"homes": homes},
	}}})
	awaitVersion(t, f, 3)
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}

	return key.String()
}

func book(t *testing.T, c *caller.Caller, key string) caller.Reply {
	t.Helper()
	r, err := c.Call(http.MethodPost, "/services/lane-app/bookings", []byte(`{"lane": 7}`), map[string]string{"Idempotency-Key": key})
	if err != nil {
		t.Fatal(err)
	}

	return r
}

func wantAtMostOneRun(t *testing.T, f *launcher.Fleet, key string) {
	t.Helper()
	runs, err := f.Runs(key)
	if err != nil {
		t.Fatal(err)
	}
	if runs > 1 {
		t.Fatalf("the key ran %d times", runs)
	}
}
