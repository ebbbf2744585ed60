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

func TestBookingWithLostResponseRunsAtMostOnce(t *testing.T) {
	f := launch(t, nil)
	for _, id := range []model.EndpointID{"lane-1", "lane-2"} {
		if err := f.SetEndpointFaults(id, map[string]any{"cut-after-run": true}); err != nil {
			t.Fatal(err)
		}
	}
	key := newIdempotencyKey(t)
	for n := range 4 {
		if r := sendBooking(t, clientOf(f, n%2), key); r.Outcome != string(model.OutcomeUnknown) {
			t.Fatalf("request %d: %+v", n, r)
		}
	}
	checkAtMostOneExecution(t, f, key)
}

func TestBookingRunsAtMostOnceWhenHomeSidecarRestarts(t *testing.T) {
	f := launch(t, nil)
	key := newIdempotencyKey(t)
	first := sendBooking(t, clientOf(f, 0), key)
	if first.Status != http.StatusCreated {
		t.Fatalf("first request: %+v", first)
	}
	home := model.EndpointID(first.Endpoint)
	workAddress := f.Sidecars[home].Address("work")
	f.Sidecars[home].Kill()
	if r := sendBooking(t, clientOf(f, 1), key); r.Outcome != string(model.OutcomeUnknown) {
		t.Fatalf("request while the sidecar of the home is down: %+v", r)
	}
	if err := f.StartSidecar(home, workAddress); err != nil {
		t.Fatal(err)
	}
	if err := f.PublishVMs(); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitUntilReady(); err != nil {
		t.Fatal(err)
	}
	if r := sendBooking(t, clientOf(f, 1), key); r.Outcome != string(model.OutcomeUnknown) {
		t.Fatalf("request after the sidecar restarted: %+v", r)
	}
	checkAtMostOneExecution(t, f, key)
}

func TestConcurrentDuplicateBookingsRunAtMostOnce(t *testing.T) {
	f := launch(t, nil)
	for _, id := range []model.EndpointID{"lane-1", "lane-2"} {
		if err := f.SetEndpointFaults(id, map[string]any{"delay-ms": 200}); err != nil {
			t.Fatal(err)
		}
	}
	key := newIdempotencyKey(t)
	var sends sync.WaitGroup
	for n := range 10 {
		sends.Add(1)
		go func() {
			defer sends.Done()
			if r := sendBooking(t, clientOf(f, n%2), key); r.Status != http.StatusCreated {
				t.Errorf("request %d: %+v", n, r)
			}
		}()
	}
	sends.Wait()
	checkAtMostOneExecution(t, f, key)
}

func TestBookingIsReplayedAfterHomeMoves(t *testing.T) {
	f := launch(t, nil)
	key := newIdempotencyKey(t)
	first := sendBooking(t, clientOf(f, 0), key)
	if first.Status != http.StatusCreated {
		t.Fatalf("first request: %+v", first)
	}
	moveHomes(t, f, model.EndpointID(first.Endpoint))
	second := sendBooking(t, clientOf(f, 1), key)
	checkAtMostOneExecution(t, f, key)
	if second.Status != http.StatusCreated || !second.IsReplayed {
		t.Fatalf("request after the home moved: %+v", second)
	}
}

// moveHomes declares a home generation with only the other plain endpoint and waits until all processes have it.
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
	waitForVersion(t, f, 3)
}

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}

	return key.String()
}

func sendBooking(t *testing.T, c *caller.Client, key string) caller.Response {
	t.Helper()
	r, err := c.Call(http.MethodPost, "/services/lane-app/bookings", []byte(`{"lane": 7}`),
		map[string]string{"Idempotency-Key": key})
	if err != nil {
		t.Fatal(err)
	}

	return r
}

func checkAtMostOneExecution(t *testing.T, f *launcher.Fleet, key string) {
	t.Helper()
	executions, err := f.ExecutionCount(key)
	if err != nil {
		t.Fatal(err)
	}
	if executions > 1 {
		t.Fatalf("the key was executed %d times", executions)
	}
}
