package launcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
)

const (
	// limitWindow is the span over which an endpoint's limit is counted. limitContactTime is how long after the first naming the
	// count begins.
	limitWindow      = 4 * time.Second
	limitContactTime = 3 * time.Second
)

// maxArrivals is the largest number of requests in a limitWindow at an endpoint that advertises a limit a second.
func maxArrivals(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds()) + 5
}

// sendSteadily sends requests at a rate to random gateways until the context ends, and returns how many were served and refused.
func sendSteadily(ctx context.Context, f *launcher.GatewayFleet, perSecond int, newCall func(*launcher.Process) *gatewayCall) (served, refused int) {
	var mu sync.Mutex
	var w sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c := newCall(f.Gateways[rand.IntN(len(f.Gateways))])
			w.Go(func() {
				r := c.send(context.Background())
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.err == nil && r.status == http.StatusOK:
					served++
				case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
					refused++
				}
			})
		}
	}
	w.Wait()

	return served, refused
}

// arrivalsAfter returns the times at which requests reached an endpoint after a time.
func arrivalsAfter(t *testing.T, f *launcher.GatewayFleet, id model.EndpointID, from time.Time) []time.Time {
	t.Helper()
	requests, _, err := f.ExecutedRequests(id)
	must(t, err)
	var arrivals []time.Time
	for _, r := range requests {
		if at := time.UnixMilli(r.ArrivedAt); at.After(from) {
			arrivals = append(arrivals, at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)

	return arrivals
}

// mostInWindow returns the largest number of arrivals within limitWindow.
func mostInWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for n, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, n-first+1)
	}

	return most
}

func newLookup(g *launcher.Process) *gatewayCall {
	return newGatewayCall(g, http.MethodGet, lookupsPath)
}

// newSessionCall returns a streamed request of one of 30 sessions.
func newSessionCall(g *launcher.Process) *gatewayCall {
	c := newGatewayCall(g, http.MethodPost, editsPath).asStream()
	c.headers["Cardamompulley-Prompt-Prefix"] = fmt.Sprintf("a1:50,%x:50,c3:20", 100+rand.IntN(30))

	return c
}

// checkLimitedArrivals checks that requests have kept the limit of an endpoint over a period and used half of it.
func checkLimitedArrivals(t *testing.T, arrivals []time.Time, limit float64, period time.Duration) {
	t.Helper()
	if most := mostInWindow(arrivals); most > maxArrivals(limit) {
		t.Errorf("%d requests in %s, %d are allowed", most, limitWindow, maxArrivals(limit))
	}
	if least := int(limit * period.Seconds() / 2); len(arrivals) < least {
		t.Errorf("%d requests in %s at a limit of %g a second, want %d at least", len(arrivals), period, limit, least)
	}
}

// Guards against gateways that together send more to an endpoint than the limit that it advertises, or that leave it idle.
func TestGatewaysKeepEndpointLimit(t *testing.T) {
	const perSecond, duration = 60, 10 * time.Second
	cases := []struct {
		gateways int
		limit    float64
		isStream bool
		isAll    bool
	}{
		{1, 3.2, false, false}, {4, 3.2, false, false}, {4, 1, true, false}, {8, 3, true, false}, {4, 4, false, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d gateways, limit %g, streams %v, all endpoints %v", c.gateways, c.limit, c.isStream, c.isAll), func(t *testing.T) {
			t.Parallel()
			f := launchGateways(t, func(s *launcher.GatewaySpec) {
				s.Gateways, s.Engines, s.PlainEndpoints, s.EventsPerStream = c.gateways, 3, 3, 2
			})
			limited := []model.EndpointID{"plain-1"}
			if c.isStream {
				limited = []model.EndpointID{"engine-1"}
			}
			if c.isAll {
				limited = []model.EndpointID{"plain-1", "plain-2", "plain-3"}
			}
			for _, id := range limited {
				must(t, f.SetEndpointFaults(id, fmt.Sprintf(`{"limit": %g}`, c.limit)))
			}
			waitForRetryBudget()
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			startedAt := time.Now()
			newCall := newLookup
			if c.isStream {
				newCall = newSessionCall
			}
			served, refused := sendSteadily(ctx, f, perSecond, newCall)
			for _, id := range limited {
				checkLimitedArrivals(t, arrivalsAfter(t, f, id, startedAt.Add(limitContactTime)), c.limit, duration-limitContactTime)
			}
			if !c.isAll && refused > 0 {
				t.Errorf("%d requests were refused although endpoints without a limit are free", refused)
			}
			if c.isAll && refused == 0 {
				t.Error("nothing was refused although all endpoints advertise a limit")
			}
			if total := int(perSecond * duration.Seconds()); served+refused < total*9/10 {
				t.Errorf("%d of %d requests were served, %d refused", served, total, refused)
			}
		})
	}
}

// A limit that an endpoint does not advertise any more must not keep its requests away, and one that it advertises anew counts at once.
func TestGatewaysUseEndpointAgainWhenItsLimitEnds(t *testing.T) {
	t.Parallel()
	const perSecond, phase = 60, 4 * time.Second
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines, s.PlainEndpoints = 4, 0, 2 })
	waitForRetryBudget()
	send := func() int {
		ctx, cancel := context.WithTimeout(t.Context(), phase)
		defer cancel()
		startedAt := time.Now()
		sendSteadily(ctx, f, perSecond, newLookup)

		return len(arrivalsAfter(t, f, "plain-1", startedAt))
	}
	must(t, f.SetEndpointFaults("plain-1", `{"limit": 3}`))
	send()
	if got := send(); got > maxArrivals(3) {
		t.Errorf("%d requests at a limit of 3 a second", got)
	}
	must(t, f.SetEndpointFaults("plain-1", `{}`))
	if got, usual := send(), perSecond*int(phase.Seconds()); got < usual/2 {
		t.Errorf("%d of about %d requests after the limit had ended", got, usual)
	}
	must(t, f.SetEndpointFaults("plain-1", `{"limit": 2}`))
	if got := send(); got > maxArrivals(2)+len(f.Gateways) {
		t.Errorf("%d requests at a new limit of 2 a second", got)
	}
}
