package launcher_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/exposer"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
)

func launch(t *testing.T, change func(*launcher.Spec)) *launcher.Fleet {
	t.Helper()
	spec := launcher.Spec{
		Programs: os.Getenv("CARDAMOMPULLEY_BIN"), Engines: 2, Plains: 2, Routers: 2, Domains: 2, Logs: io.Discard,
	}
	if os.Getenv("E2E_LOGS") != "" {
		spec.Logs = os.Stderr
	}
	if change != nil {
		change(&spec)
	}
	f, err := launcher.Launch(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)

	return f
}

func callerOf(f *launcher.Fleet, router int) *caller.Caller {
	return caller.NewCaller(f.Routers[router].Address("callers"), launcher.CallerToken)
}

func turn(text string) []caller.Message {
	return []caller.Message{{Role: "user", Content: text}}
}

func chat(t *testing.T, c *caller.Caller, text string, tokens int, onPiece func(int)) caller.Reply {
	t.Helper()
	r, err := c.Chat(string(launcher.Model), turn(text), true, tokens, onPiece)
	if err != nil {
		t.Fatal(err)
	}

	return r
}

// wholeOrError checks that a stream was whole, or ended in an explicit error event.
func wholeOrError(t *testing.T, r caller.Reply, tokens int) {
	t.Helper()
	if r.Whole && r.Pieces == tokens && r.Code == "" {
		return
	}
	if r.Whole || r.Code == "" || r.Outcome == string(model.OutcomeNotRun) {
		t.Fatalf("neither whole nor an explicit error: %+v", r)
	}
}

func TestStreamUnderFaults(t *testing.T) {
	const tokens = 60
	f := func(t *testing.T, settings map[string]any) *launcher.Fleet {
		return launch(t, func(s *launcher.Spec) { s.SidecarSettings = settings })
	}
	t.Run("sidecar killed in the middle", func(t *testing.T) {
		fleet := f(t, nil)
		r := chat(t, callerOf(fleet, 0), "one", tokens, func(n int) {
			if n == 5 {
				for _, s := range fleet.Sidecars {
					s.Kill()
				}
			}
		})
		wholeOrError(t, r, tokens)
	})
	t.Run("engine killed in the middle", func(t *testing.T) {
		fleet := f(t, nil)
		r := chat(t, callerOf(fleet, 0), "one", tokens, func(n int) {
			if n == 5 {
				fleet.Endpoints["engine-1"].Kill()
				fleet.Endpoints["engine-2"].Kill()
			}
		})
		wholeOrError(t, r, tokens)
	})
	faults := map[string]map[string]any{
		"engine cuts":    {"cut-after": 5},
		"engine stalls":  {"stall-after": 5},
		"answer crossed": {"cross-next": true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			fleet := f(t, map[string]any{"stall-timeout-ms": 300})
			for _, id := range []model.EndpointID{"engine-1", "engine-2"} {
				if err := fleet.SetFaults(id, fault); err != nil {
					t.Fatal(err)
				}
			}
			wholeOrError(t, chat(t, callerOf(fleet, 0), "one", tokens, nil), tokens)
		})
	}
}

func TestGracefulShutdownCutsNothing(t *testing.T) {
	const tokens = 120
	fleet := launch(t, nil)
	var started, ended sync.WaitGroup
	for n := range 8 {
		started.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			r, err := callerOf(fleet, n%2).Chat(string(launcher.Model), turn(fmt.Sprint(n)), true, tokens, func(piece int) {
				if piece == 1 {
					started.Done()
				}
			})
			if err != nil || !r.Whole || r.Pieces != tokens {
				t.Errorf("stream %d was cut: %v %+v", n, err, r)
			}
		}()
	}
	started.Wait()
	stopping := append([]*launcher.Process{}, fleet.Routers...)
	for _, s := range fleet.Sidecars {
		stopping = append(stopping, s)
	}
	for _, p := range stopping {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	ended.Wait()
	for _, p := range stopping {
		if err := p.Stop(); err != nil {
			t.Error(err)
		}
	}
}

func patch(t *testing.T, f *launcher.Fleet, base model.Version, merge any) {
	t.Helper()
	if _, err := f.Patch(base, merge); err != nil {
		t.Fatal(err)
	}
}

func awaitVersion(t *testing.T, f *launcher.Fleet, version model.Version) {
	t.Helper()
	awaitVersionOf(t, f.Running(), version)
}

func awaitVersionOf(t *testing.T, processes []*launcher.Process, version model.Version) {
	t.Helper()
	want := fmt.Sprintf("configuration_version %d", version)
	for _, p := range processes {
		err := launcher.Await(func() bool {
			text, err := launcher.Fetch("http://" + p.Address("operator") + "/metrics")

			return err == nil && strings.Contains(text, want)
		})
		if err != nil {
			t.Fatalf("%s: %v", p.Name, err)
		}
	}
}

func TestDomainOutAndBack(t *testing.T) {
	f := launch(t, nil)
	setDomain := func(base model.Version, state model.DomainState) {
		patch(t, f, base, map[string]any{"fleet": map[string]any{
			"domains": map[string]any{"domain-a": map[string]any{"state": state}},
		}})
		awaitVersion(t, f, base+1)
	}
	setDomain(2, model.DomainOutOfService)
	for n := range 20 {
		r := chat(t, callerOf(f, n%2), fmt.Sprint("chat ", n), 3, nil)
		if !r.Whole || r.Endpoint != "engine-2" {
			t.Fatalf("chat %d: %+v", n, r)
		}
	}
	setDomain(3, model.DomainInService)
	served := map[string]bool{}
	for n := range 40 {
		served[chat(t, callerOf(f, n%2), fmt.Sprint("again ", n), 3, nil).Endpoint] = true
	}
	if len(served) != 2 {
		t.Fatalf("served by %v", served)
	}
}

// propose sends work straight to a sidecar, as a router with an old view would, and returns the first event.
func propose(t *testing.T, f *launcher.Fleet, id model.EndpointID, token string) (*messenger.RunEvent, error) {
	t.Helper()
	client := messengerconnect.NewEndpointClient(&http.Client{Transport: runner.NewTransport()},
		"http://"+f.Sidecars[id].Address("work"), follower.WithToken(token))
	stream, err := client.Run(t.Context(), &messenger.RunRequest{
		AttemptId: "a", Account: string(launcher.Account), Service: string(launcher.EngineService), Method: http.MethodPost,
		Path: "/v1/chat/completions", Model: string(launcher.Model), Placed: true, ConfigurationVersion: 2,
		Body: []byte(`{"model": "coach-1", "messages": [{"role": "user", "content": "late"}]}`), DeadlineMs: 10_000,
	})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stream.Receive()

	return stream.Msg(), stream.Err()
}

func TestSidecarPausedAcrossDomainOut(t *testing.T) {
	const longPause = 3 * timekeeper.Second
	f := launch(t, nil)
	paused := f.Sidecars["engine-1"]
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	patch(t, f, 2, map[string]any{"fleet": map[string]any{
		"domains": map[string]any{"domain-a": map[string]any{"state": "out"}},
	}})
	awaitVersionOf(t, f.Routers, 3)
	time.Sleep(longPause.Duration())
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	e, err := propose(t, f, "engine-1", launcher.RouterToken)
	if err != nil || e.GetRefusal() == nil || e.GetRefusal().Outcome != string(model.OutcomeNotRun) {
		t.Fatalf("work proposed at the wake-up: %v %+v", err, e)
	}
}

func TestSidecarAdmitsOnlyNamedProcesses(t *testing.T) {
	f := launch(t, nil)
	for _, token := range []string{"", "unknown", launcher.CallerToken, launcher.OperatorToken} {
		if _, err := propose(t, f, "engine-1", token); connect.CodeOf(err) != connect.CodePermissionDenied {
			t.Fatalf("token %q: %v", token, err)
		}
	}
	if e, err := propose(t, f, "engine-1", launcher.RouterToken); err != nil || e.GetHead() == nil {
		t.Fatalf("a router's token: %v %+v", err, e)
	}
}

func TestLeavingEndpoint(t *testing.T) {
	f := launch(t, nil)
	if err := f.SetVMState("sidecar-engine-1", model.VMDraining); err != nil {
		t.Fatal(err)
	}
	err := launcher.Await(func() bool {
		text, err := launcher.Fetch("http://" + f.Routers[0].Address("operator") + "/fleet")

		var view exposer.FleetView
		if err != nil || json.Unmarshal([]byte(text), &view) != nil {
			return false
		}

		return slices.ContainsFunc(view.Endpoints, func(e exposer.EndpointView) bool {
			return e.ID == "engine-1" && e.State == exchanger.StateDraining.String()
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	for n := range 10 {
		if r := chat(t, callerOf(f, 0), fmt.Sprint("chat ", n), 3, nil); r.Endpoint != "engine-2" {
			t.Fatalf("chat %d: %+v", n, r)
		}
	}
}

func TestServesWhilePlatformIsDown(t *testing.T) {
	f := launch(t, nil)
	if err := f.SetPlatformFaults(true, false); err != nil {
		t.Fatal(err)
	}
	if r := chat(t, callerOf(f, 0), "one", 3, nil); !r.Whole {
		t.Fatalf("chat: %+v", r)
	}
}

func TestCrashingRequestIsCondemned(t *testing.T) {
	f := launch(t, func(s *launcher.Spec) { s.Engines = 4 })
	engines := []model.EndpointID{"engine-1", "engine-2", "engine-3", "engine-4"}
	for _, id := range engines {
		if err := f.SetFaults(id, map[string]any{"crash-on": "poison"}); err != nil {
			t.Fatal(err)
		}
	}
	var last caller.Reply
	for n := range 12 {
		last = chat(t, callerOf(f, n%2), "poison", 3, nil)
		if last.Whole && last.Pieces == 3 {
			t.Fatalf("send %d was served: %+v", n, last)
		}
		if last.Code == string(model.CodeRequestQuarantined) && last.RetryAfter == "" {
			t.Fatalf("send %d is not told when to come back: %+v", n, last)
		}
	}
	if last.Code != string(model.CodeRequestQuarantined) {
		t.Fatalf("last send: %+v", last)
	}
	crashed := 0
	for _, id := range engines {
		select {
		case <-f.Endpoints[id].Exited():
			crashed++
		default:
		}
	}
	if crashed > 2 {
		t.Fatalf("%d endpoints crashed", crashed)
	}
	if r := chat(t, callerOf(f, 0), "innocent", 3, nil); !r.Whole {
		t.Fatalf("another chat: %+v", r)
	}
}
