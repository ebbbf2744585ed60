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

const (
	// minSoundShare is the share of the sound requests that have to be served from twice the contact time after the last
	// tolerated crash on.
	minSoundShare = 0.95
	// recoveryDelay is the time after the start of the traffic from which sound requests have to be served as if nothing crashed:
	// the crashing requests begin after a second, and twice the contact time follows the fifth crash.
	recoveryDelay = 9 * time.Second
)

// crashTraffic is a load of sound requests, with one crashing request that comes again and again at any gateway.
type crashTraffic struct {
	fleet *launcher.GatewayFleet
	// soundEvery and crashEvery are the intervals between requests of each kind, over all gateways.
	soundEvery, crashEvery time.Duration
	// newCrasher returns the n-th crashing request, without its gateway.
	newCrasher func(n int) *gatewayCall

	// gateways are those that get the traffic; nil means all of the fleet.
	gateways atomic.Pointer[[]*launcher.Process]

	sound, served atomic.Int64
	// lateSound and lateServed count the sound requests sent later than recoveryDelay after the start.
	lateSound, lateServed atomic.Int64
}

// run sends the traffic for a time, crashing requests after a second, and waits until all requests have ended.
func (c *crashTraffic) run(ctx context.Context, duration time.Duration) {
	var w sync.WaitGroup
	defer w.Wait()
	start := time.Now()
	end := start.Add(duration)
	w.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			isLate := time.Since(start) > recoveryDelay
			w.Go(func() { c.sendSound(ctx, n, isLate) })
			time.Sleep(c.soundEvery)
		}
	})
	time.Sleep(time.Second)
	for n := 0; time.Now().Before(end); n++ {
		call := c.newCrasher(n)
		call.gateway = c.gateway(n * 5)
		w.Go(func() { call.send(ctx) })
		time.Sleep(c.crashEvery)
	}
}

// newCrasherCall returns a request without its gateway; an empty prompt is the usual one.
func newCrasherCall(body, prompt string) *gatewayCall {
	c := newGatewayCall(nil, http.MethodPost, editsPath).asStream()
	c.body = body
	if prompt != "" {
		c.headers["Cardamompulley-Prompt-Prefix"] = prompt
	}

	return c
}

// gateway returns the gateway of the n-th request.
func (c *crashTraffic) gateway(n int) *launcher.Process {
	if current := c.gateways.Load(); current != nil {
		return (*current)[n%len(*current)]
	}

	return c.fleet.Gateways[n%len(c.fleet.Gateways)]
}

func (c *crashTraffic) sendSound(ctx context.Context, n int, isLate bool) {
	call := newGatewayCall(c.gateway(n), http.MethodPost, editsPath).asStream()
	call.body = fmt.Sprintf("sound request %d", n)
	call.headers["Cardamompulley-Prompt-Prefix"] = fmt.Sprintf("a1:50,%x:50,%x:50,%x:20", 0xb00+n%5, 0xd00+n%20, 0xc0000+n)
	r := call.send(ctx)
	isServed := r.err == nil && r.status == http.StatusOK && r.body == completeStream(eventsOfAnswer)
	counters := map[*atomic.Int64]bool{&c.sound: true, &c.served: isServed, &c.lateSound: isLate, &c.lateServed: isLate && isServed}
	for counter, counts := range counters {
		if counts {
			counter.Add(1)
		}
	}
}

// requireSoundServed fails the test if too few sound requests were served.
func (c *crashTraffic) requireSoundServed(t *testing.T) {
	t.Helper()
	share := float64(c.lateServed.Load()) / float64(max(c.lateSound.Load(), 1))
	if share < minSoundShare {
		t.Errorf("%.2f of the sound requests were served after the crashes, want %.2f", share, minSoundShare)
	}
}
