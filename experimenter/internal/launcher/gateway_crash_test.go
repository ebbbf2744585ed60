package launcher_test

import (
	"fmt"
	"slices"
	"sync"
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
	// crashesOfPart is the number of endpoints that requests with one prompt part may crash before the time begins.
	crashesOfPart = 5
)

// requireBound fails the test if too few crashes were tolerated, or too many requests arrived after that.
func requireBound(t *testing.T, text string, crashes, late, tolerated int) {
	t.Helper()
	if crashes < tolerated || late > maxLateArrivals {
		t.Errorf("%s: %d crashes, %d late arrivals, want at least %d and at most %d", text, crashes, late, tolerated, maxLateArrivals)
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
			f, site := launchCrashSite(t, x.gateways, x.stage, text)
			traffic := &crashTraffic{fleet: f, soundEvery: 40 * time.Millisecond, crashEvery: x.every, newCrasher: func(int) *gatewayCall {
				return newCrasherCall(text, "")
			}}
			traffic.run(t.Context(), 14*time.Second)
			crashes, late := site.lateArrivals(text, crashesOfRequest, contactTime)
			t.Logf("%d crashes, %d late arrivals, %d of %d sound requests served", crashes, late, traffic.served.Load(), traffic.sound.Load())
			requireBound(t, text, crashes, late, crashesOfRequest)
			traffic.requireSoundServed(t)
		})
	}
}

// Requests that share nothing with each other but one prompt part must stop reaching endpoints soon after they have crashed five
// of them, and requests that share the caller and the other parts must be served.
func TestGatewaysStopSendingRequestsWithPartThatCrashesEndpoints(t *testing.T) {
	const part = "deadbeef"
	cases := []struct {
		name     string
		gateways int
		every    time.Duration
		stage    crashStage
		// prompt is the prompt of the n-th crashing request.
		prompt func(n int) string
	}{
		{"one gateway, second of four", 1, 250 * time.Millisecond, crashAfterHead, func(n int) string {
			return fmt.Sprintf("a1:50,%s:50,%x:50,%x:20", part, 0xd00+n%20, 0xe0000+n)
		}},
		{"eight gateways, second of four", 8, 250 * time.Millisecond, crashAfterHead, func(n int) string {
			return fmt.Sprintf("a1:50,%s:50,%x:50,%x:20", part, 0xd00+n%20, 0xe0000+n)
		}},
		{"eight gateways, first of four, before the head", 8, 500 * time.Millisecond, crashBeforeHead, func(n int) string {
			return fmt.Sprintf("%s:50,%x:50,%x:50,%x:20", part, 0xb00+n%5, 0xd00+n%20, 0xe0000+n)
		}},
		{"eight gateways, third of four, after the first event", 8, 500 * time.Millisecond, crashAfterFirstEvent, func(n int) string {
			return fmt.Sprintf("a1:50,%x:50,%s:50,%x:20", 0xb00+n%5, part, 0xe0000+n)
		}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f, site := launchCrashSite(t, x.gateways, x.stage, part)
			traffic := &crashTraffic{fleet: f, soundEvery: 40 * time.Millisecond, crashEvery: x.every, newCrasher: func(n int) *gatewayCall {
				return newCrasherCall(fmt.Sprintf("body %d", n), x.prompt(n))
			}}
			traffic.run(t.Context(), 16*time.Second)
			crashes, late := site.lateArrivals(part, crashesOfPart, contactTime)
			t.Logf("%d crashes, %d late arrivals, %d of %d sound requests served, late ones %d of %d", crashes, late,
				traffic.served.Load(), traffic.sound.Load(), traffic.lateServed.Load(), traffic.lateSound.Load())
			requireBound(t, part, crashes, late, crashesOfPart)
			traffic.requireSoundServed(t)
		})
	}
}

// The bound holds for each of two crashers at once, while gateways are killed and others start that know nothing of before.
func TestNewGatewaysStopSendingWhatCrashesEndpoints(t *testing.T) {
	const body, part = "crashing body", "deadbeef"
	t.Parallel()
	f, site := launchCrashSite(t, 4, crashAfterHead, body, part)
	traffic := &crashTraffic{fleet: f, soundEvery: 40 * time.Millisecond, crashEvery: 150 * time.Millisecond}
	traffic.newCrasher = func(n int) *gatewayCall {
		if n%2 == 0 {
			return newCrasherCall(body, "")
		}

		return newCrasherCall(fmt.Sprintf("body %d", n), fmt.Sprintf("a1:50,%s:50,%x:20", part, 0xe0000+n))
	}
	current := slices.Clone(f.Gateways)
	traffic.gateways.Store(&current)
	var w sync.WaitGroup
	w.Go(func() { traffic.run(t.Context(), 18*time.Second) })
	for range 3 {
		time.Sleep(2500 * time.Millisecond)
		replaceGateway(t, f, traffic)
	}
	w.Wait()
	for text, tolerated := range map[string]int{body: crashesOfRequest, part: crashesOfPart} {
		crashes, late := site.lateArrivals(text, tolerated, contactTime)
		t.Logf("%s: %d crashes, %d late arrivals", text, crashes, late)
		requireBound(t, text, crashes, late, tolerated)
	}
	traffic.requireSoundServed(t)
}

// replaceGateway starts a gateway, gives it traffic once it is ready, and kills the one that has had traffic for longest, except
// the seed.
func replaceGateway(t *testing.T, f *launcher.GatewayFleet, traffic *crashTraffic) {
	t.Helper()
	added, err := f.StartGateway()
	must(t, err)
	waitFor(t, "the new gateway is ready", 5*time.Second, func() bool { return f.IsReady(added) })
	old := *traffic.gateways.Load()
	current := append([]*launcher.Process{old[0]}, old[2:]...)
	current = append(current, added)
	traffic.gateways.Store(&current)
	// Requests that run at the old gateway end first.
	time.Sleep(time.Second)
	old[1].Kill()
}
