package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

// The users' rules on requests that crash endpoints.
const (
	// contactTime is the time after the last tolerated crash within which the gateways have to stop sending.
	contactTime = 3 * time.Second
	// maxLateArrivals is how many such requests may reach endpoints after that, over all gateways together.
	maxLateArrivals = 3
	// crashesOfRequest is the number of endpoints that one request may crash before the time begins.
	crashesOfRequest = 3
)

// crashTraffic is a load of sound requests, with one crashing request that comes again and again at any gateway.
type crashTraffic struct {
	fleet *launcher.GatewayFleet
	// soundEvery and crashEvery are the intervals between requests of each kind, over all gateways.
	soundEvery, crashEvery time.Duration
	// newCrasher returns the n-th crashing request, without its gateway.
	newCrasher func(n int) *gatewayCall

	sound, served atomic.Int64
}

// run sends the traffic for a time, crashing requests after a second, and waits until all requests have ended.
func (c *crashTraffic) run(ctx context.Context, duration time.Duration) {
	var w sync.WaitGroup
	defer w.Wait()
	end := time.Now().Add(duration)
	w.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			w.Go(func() { c.sendSound(ctx, n) })
			time.Sleep(c.soundEvery)
		}
	})
	time.Sleep(time.Second)
	for n := 0; time.Now().Before(end); n++ {
		call := c.newCrasher(n)
		call.gateway = c.fleet.Gateways[(n*5)%len(c.fleet.Gateways)]
		w.Go(func() { call.send(ctx) })
		time.Sleep(c.crashEvery)
	}
}

func (c *crashTraffic) sendSound(ctx context.Context, n int) {
	call := newGatewayCall(c.fleet.Gateways[n%len(c.fleet.Gateways)], http.MethodPost, editsPath).asStream()
	call.body = fmt.Sprintf("sound request %d", n)
	call.headers["Cardamompulley-Prompt-Prefix"] = fmt.Sprintf("a1:50,%x:50,%x:20", 0xb00+n%20, 0xc0000+n)
	c.sound.Add(1)
	if r := call.send(ctx); r.err == nil && r.status == http.StatusOK && r.body == completeStream(eventsOfAnswer) {
		c.served.Add(1)
	}
}

// A request that comes again at any gateway must stop reaching endpoints soon after it has crashed three of them.
func TestGatewaysStopSendingRequestThatCrashesEndpoints(t *testing.T) {
	const text = "crashing body"
	cases := []struct {
		name     string
		gateways int
		every    time.Duration
		stage    crashStage
	}{
		{"one gateway, after the head", 1, 500 * time.Millisecond, crashAfterHead},
		{"eight gateways, after the head", 8, 500 * time.Millisecond, crashAfterHead},
		{"eight gateways, before the head", 8, time.Second, crashBeforeHead},
		{"eight gateways, after the first event", 8, 500 * time.Millisecond, crashAfterFirstEvent},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines, s.PlainEndpoints = x.gateways, 0, 0 })
			site := newCrashSite(t, f, 16, x.stage, text)
			waitForRetryBudget()
			traffic := &crashTraffic{fleet: f, soundEvery: 40 * time.Millisecond, crashEvery: x.every, newCrasher: func(int) *gatewayCall {
				c := newGatewayCall(nil, http.MethodPost, editsPath).asStream()
				c.body = text

				return c
			}}
			traffic.run(t.Context(), 14*time.Second)
			crashes, late := site.lateArrivals(text, crashesOfRequest, contactTime)
			t.Logf("%d crashes, %d late arrivals, %d of %d sound requests served", crashes, late, traffic.served.Load(), traffic.sound.Load())
			if crashes < crashesOfRequest || late > maxLateArrivals {
				t.Fatalf("%d crashes, %d late arrivals, want at least %d and at most %d", crashes, late, crashesOfRequest, maxLateArrivals)
			}
		})
	}
}
