package launcher_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

// standStill suspends the last gateway between two of its watches of the store, so that no answer of the store waits for it.
func standStill(t *testing.T, f *launcher.GatewayFleet) {
	t.Helper()
	must(t, f.PutItem("other/item", map[string]any{}))
	time.Sleep(50 * time.Millisecond)
	must(t, f.Gateways[2].Signal(syscall.SIGSTOP))
}

func wake(t *testing.T, f *launcher.GatewayFleet) {
	t.Helper()
	must(t, f.Gateways[2].Signal(syscall.SIGCONT))
}

func stopOthers(t *testing.T, f *launcher.GatewayFleet) {
	t.Helper()
	must(t, f.Gateways[0].Signal(syscall.SIGSTOP))
	must(t, f.Gateways[1].Signal(syscall.SIGSTOP))
}

// Guards against a gateway that was out of step while endpoints of a new version joined, and lets callers take up at another version
// what these have begun through other gateways.
func TestGatewayOutOfStepJoinsNoStreams(t *testing.T) {
	const streams = 24
	old, joining := []versionedEngine{{"a1", "v1"}, {"a2", "v1"}}, []versionedEngine{{"b1", "v2"}, {"b2", "v2"}}
	cases := []struct {
		name string
		// before and after are what happens before the new version joins and after its streams have broken off.
		before, after func(*testing.T, *launcher.GatewayFleet)
	}{
		{"stood still", standStill, wake},
		{"stood still, and the store is silent", standStill, func(t *testing.T, f *launcher.GatewayFleet) {
			must(t, f.SetStoreFaults(`{"silent": true}`))
			wake(t, f)
		}},
		{"stood still, then cut off from the others and the store", standStill, func(t *testing.T, f *launcher.GatewayFleet) {
			must(t, f.SetStoreFaults(`{"silent": true}`))
			stopOthers(t, f)
			wake(t, f)
		}},
		{"the others are killed as it wakes", standStill, func(t *testing.T, f *launcher.GatewayFleet) {
			f.Gateways[0].Kill()
			f.Gateways[1].Kill()
			wake(t, f)
		}},
		{"cut off from the others since", func(*testing.T, *launcher.GatewayFleet) {}, stopOthers},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f := launchVersions(t, 3, old...)
			x.before(t, f)
			startEngines(t, f, joining...)
			time.Sleep(600 * time.Millisecond)
			all := newStreams(streams, true)
			begun, breakOff := context.WithCancel(t.Context())
			first := sendStreams(begun, all, f.Gateways[0], f.Gateways[1])
			time.Sleep(400 * time.Millisecond)
			breakOff()
			first.Wait()
			f.Endpoints[joining[0].id].Kill()
			x.after(t, f)
			ctx, cancel := context.WithTimeout(t.Context(), streamTimeout)
			defer cancel()
			sendStreams(ctx, all, f.Gateways[2]).Wait()
			if _, joined := countStreams(all); joined > 0 {
				t.Errorf("%d of %d streams hold pieces of two versions", joined, streams)
			}
		})
	}
}
