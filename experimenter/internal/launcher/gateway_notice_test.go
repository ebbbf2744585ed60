package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
)

const (
	// leaveTime is how long after an answer that says so a gateway may use an endpoint that leaves (the default of drain-ms).
	leaveTime = 2 * time.Second
	// backoffDelay is how long after a backoff was asked for requests still may arrive, and lateInBackoff how many may arrive after that
	// from each gateway.
	backoffDelay  = 500 * time.Millisecond
	lateInBackoff = 2
)

// Guards against a gateway that goes on sending requests to an endpoint that has said that it leaves, whatever the store says.
func TestGatewaysStopUsingEndpointThatSaysItLeaves(t *testing.T) {
	const perSecond, duration = 40, 6 * time.Second
	cases := []struct {
		name     string
		gateways int
		faults   string
		newCall  func(*launcher.Process) *gatewayCall
		leaver   string
	}{
		{"plain requests", 1, `{"leaving": true}`, newLookup, "plain-1"},
		{"plain requests at three gateways", 3, `{"leaving": true}`, newLookup, "plain-1"},
		{"failures", 1, `{"leaving": true, "status": 500}`, newLookup, "plain-1"},
		{"streams", 2, `{"leaving": true}`, newSessionCall, "engine-1"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines = x.gateways, 3 })
			waitForRetryBudget()
			id := model.EndpointID(x.leaver)
			from := time.Now()
			must(t, f.SetEndpointFaults(id, x.faults))
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			served, refused := sendSteadily(ctx, f, perSecond, x.newCall)
			late := arrivalsAfter(t, f, id, from.Add(leaveTime+time.Second))
			if len(late) > 0 {
				t.Errorf("%d requests reached the leaver later than %v after its first answers", len(late), leaveTime)
			}
			if refused > 0 || served == 0 {
				t.Errorf("%d requests were served, %d refused", served, refused)
			}
			must(t, f.SetEndpointFaults(id, `{}`))
			must(t, f.RestartEntry(id))
			waitFor(t, "the endpoint that has started again gets requests", 10*time.Second, func() bool {
				before := len(arrivalsAfter(t, f, id, from))
				for range 20 {
					x.newCall(f.Gateways[0]).send(t.Context())
				}

				return len(arrivalsAfter(t, f, id, from)) > before
			})
		})
	}
}

// Guards against a gateway that sends requests to an endpoint that has asked it for a backoff.
func TestGatewaysBackOffAsEndpointsAsk(t *testing.T) {
	const perSecond, duration, backoff = 60, 8 * time.Second, 3 * time.Second
	for _, gateways := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) {
			t.Parallel()
			f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = gateways })
			// Gateways that learn of each other settle later.
			time.Sleep(time.Second)
			waitForRetryBudget()
			must(t, f.SetEndpointFaults("plain-1", `{"full": true, "backoff": 3}`))
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			served, refused := sendSteadily(ctx, f, perSecond, newLookup)
			rejections, err := f.Rejections("plain-1")
			must(t, err)
			if late := mostInBackoff(rejections, backoff); late > lateInBackoff*gateways || len(rejections) == 0 {
				t.Errorf("%d of %d requests arrived in a backoff, want %d at most", late, len(rejections), lateInBackoff*gateways)
			}
			if refused > 0 || served == 0 {
				t.Errorf("%d requests were served, %d refused", served, refused)
			}
			must(t, f.SetEndpointFaults("plain-1", `{}`))
			from := time.Now()
			waitFor(t, "the endpoint gets requests after its backoff", 2*backoff, func() bool {
				newLookup(f.Gateways[0]).send(t.Context())

				return len(arrivalsAfter(t, f, "plain-1", from)) > 0
			})
		})
	}
}

// mostInBackoff returns the largest number of arrivals between backoffDelay after one of them and the end of the backoff that it asked for.
func mostInBackoff(arrivals []time.Time, backoff time.Duration) int {
	most := 0
	for _, asked := range arrivals {
		count := 0
		for _, at := range arrivals {
			if at.After(asked.Add(backoffDelay)) && at.Before(asked.Add(backoff)) {
				count++
			}
		}
		most = max(most, count)
	}

	return most
}

// Guards against callers that are all told to come back at the same moment, or before the backoff is over, or that are made to wait.
func TestCallersComeBackInTurnAfterBackoff(t *testing.T) {
	const callers, backoff = 40, 2 * time.Second
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	waitForRetryBudget()
	for _, id := range []string{"plain-1", "plain-2"} {
		must(t, f.SetEndpointFaults(model.EndpointID(id), `{"full": true, "backoff": 2}`))
	}
	newLookup(f.Gateways[0]).send(t.Context())
	newLookup(f.Gateways[0]).send(t.Context())
	asked := time.Now()
	var mu sync.Mutex
	var returns []time.Time
	var w sync.WaitGroup
	for range callers {
		w.Go(func() {
			sentAt := time.Now()
			r := newLookup(f.Gateways[0]).send(t.Context())
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || r.status != http.StatusServiceUnavailable {
				t.Errorf("status %d, Retry-After %q", r.status, r.header.Get("Retry-After"))

				return
			}
			if waited := time.Since(sentAt); waited > backoffDelay {
				t.Errorf("a caller that cannot be served was kept for %v", waited)
			}
			returns = append(returns, time.Now().Add(time.Duration(seconds*float64(time.Second))))
		})
	}
	w.Wait()
	distinct := map[int64]bool{}
	for _, at := range returns {
		if at.Before(asked.Add(backoff - backoffDelay)) {
			t.Errorf("a caller comes back %v after the backoff was asked for", at.Sub(asked))
		}
		distinct[at.UnixMilli()/10] = true
	}
	if len(distinct) < callers/4 {
		t.Errorf("%d callers come back in %d moments", len(returns), len(distinct))
	}
	rejections, err := f.Rejections("plain-1")
	must(t, err)
	if late := mostInBackoff(rejections, backoff); late > lateInBackoff {
		t.Errorf("%d requests arrived in a backoff", late)
	}
}
