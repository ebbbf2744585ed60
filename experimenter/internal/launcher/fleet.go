package launcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Tokens of the launched fleet.
const (
	CallerToken   = "demo-caller-token"
	Account       = model.AccountID("demo-account")
	RouterToken   = "demo-router-token"
	SidecarToken  = "demo-sidecar-token"
	OperatorToken = "demo-operator-token"
)

// Services of the launched fleet.
const (
	EngineService = model.ServiceID("coach-llm")
	PlainService  = model.ServiceID("lane-app")
	Model         = model.ModelID("coach-1")
)

// ErrNotReady means that the fleet did not become ready in time.
var ErrNotReady = errors.New("launcher: fleet not ready")

// Spec says what to start.
type Spec struct {
	Programs string
	Engines  int
	Plains   int
	Routers  int
	Domains  int
	// EngineFlags are passed to every engine stand-in.
	EngineFlags []string
	// SidecarSettings are added to the settings of every sidecar.
	SidecarSettings map[string]any
	// RouterSettings are added to the settings of every router.
	RouterSettings map[string]any
	// Change alters the first document before it is published.
	Change func(*model.Document)
	Logs   io.Writer
}

// Fleet is a running fleet of processes.
type Fleet struct {
	Platform  *Process
	Endpoints map[model.EndpointID]*Process
	Sidecars  map[model.EndpointID]*Process
	Routers   []*Process

	group

	spec      Spec
	endpoints map[model.EndpointID]model.Endpoint
	vms       []model.VM
}

// Launch starts a fleet and returns it when every process is ready.
func Launch(spec Spec) (*Fleet, error) {
	g, err := newGroup(spec.Programs, spec.Logs)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		group: g, spec: spec,
		Endpoints: map[model.EndpointID]*Process{},
		Sidecars:  map[model.EndpointID]*Process{},
		endpoints: map[model.EndpointID]model.Endpoint{},
	}
	if err := f.start(); err != nil {
		f.Kill()

		return nil, err
	}

	return f, nil
}

func (f *Fleet) start() error {
	var err error
	f.Platform, err = f.program("platform", "standin", []string{"standin"}, "platform")
	if err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	for n := range f.spec.Routers {
		if err := f.startRouter(n); err != nil {
			return err
		}
	}
	if err := f.publish(); err != nil {
		return err
	}

	if err := f.AwaitReady(); err != nil {
		return err
	}

	return f.awaitPublished()
}

func (f *Fleet) startEndpoints() error {
	for n := range f.spec.Engines {
		flags := append([]string{"engine"}, f.spec.EngineFlags...)
		id := model.EndpointID(fmt.Sprintf("engine-%d", n+1))
		e := model.Endpoint{Service: EngineService, Models: []model.ModelID{Model}, MaxRunning: 32}
		if err := f.startEndpoint(id, n, e, flags); err != nil {
			return err
		}
	}
	for n := range f.spec.Plains {
		id := model.EndpointID(fmt.Sprintf("lane-%d", n+1))
		if err := f.startEndpoint(id, n, model.Endpoint{Service: PlainService}, []string{"plain"}); err != nil {
			return err
		}
	}

	return nil
}

func (f *Fleet) domain(n int) model.DomainID {
	return model.DomainID("domain-" + string(rune('a'+n%f.spec.Domains)))
}

func (f *Fleet) startEndpoint(id model.EndpointID, n int, e model.Endpoint, flags []string) error {
	e.Domain = f.domain(n)
	endpoint, err := f.program(string(id), "standin", []string{"standin"}, flags...)
	if err != nil {
		return err
	}
	f.Endpoints[id] = endpoint
	f.endpoints[id] = e

	return f.StartSidecar(id, "127.0.0.1:0")
}

// StartSidecar starts the sidecar of an endpoint on a work address.
func (f *Fleet) StartSidecar(id model.EndpointID, work string) error {
	e := f.endpoints[id]
	name := "sidecar-" + string(id)
	path, err := f.settings(name, string(e.Domain), SidecarToken, map[string]any{
		"endpoint":     id,
		"endpoint-url": "http://" + f.Endpoints[id].Address("standin"),
		"work-listen":  work,
	}, f.spec.SidecarSettings)
	if err != nil {
		return err
	}
	p, err := f.program(name, "sidecar", []string{"work", "peer", "operator"}, "--settings", path)
	if err != nil {
		return err
	}
	f.Sidecars[id] = p
	e.Address = p.Address("work")
	f.endpoints[id] = e
	f.setVM(model.VM{
		ID: name, Role: model.RoleSidecar, Address: p.Address("peer"), Domain: e.Domain, State: model.VMLive,
	})

	return nil
}

func (f *Fleet) startRouter(n int) error {
	name := fmt.Sprintf("router-%d", n+1)
	path, err := f.settings(name, string(f.domain(n)), RouterToken, f.spec.RouterSettings)
	if err != nil {
		return err
	}
	p, err := f.program(name, "router", []string{"callers", "peer", "operator"}, "--settings", path)
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, p)
	f.setVM(model.VM{
		ID: name, Role: model.RoleRouter, Address: p.Address("peer"), Domain: f.domain(n), State: model.VMLive,
	})

	return nil
}

func (f *Fleet) settings(name, domain, token string, more ...map[string]any) (string, error) {
	platform := "http://" + f.Platform.Address("standin")
	s := map[string]any{
		"process": name, "domain": domain, "token": token,
		"configuration-service": platform, "vm-list": platform,
	}
	for _, extra := range more {
		for k, v := range extra {
			s[k] = v
		}
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", fmt.Errorf("launcher: %s: %w", name, err)
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return "", fmt.Errorf("launcher: %s: %w", name, err)
	}

	return path, nil
}

func (f *Fleet) setVM(vm model.VM) {
	for i := range f.vms {
		if f.vms[i].ID == vm.ID {
			f.vms[i] = vm

			return
		}
	}
	f.vms = append(f.vms, vm)
}

// SetVMState shows a process as live or leaving in the VM list.
func (f *Fleet) SetVMState(process string, state model.VMState) error {
	for i := range f.vms {
		if f.vms[i].ID == process {
			f.vms[i].State = state
		}
	}

	return f.PublishVMs()
}

// PublishVMs publishes the VM list.
func (f *Fleet) PublishVMs() error {
	_, err := f.platform(http.MethodPut, "/v1/vms", f.vms)

	return err
}

func (f *Fleet) publish() error {
	d := f.Document()
	if f.spec.Change != nil {
		f.spec.Change(&d)
	}
	if _, err := f.Patch(1, d); err != nil {
		return err
	}

	return f.PublishVMs()
}

// Patch hands a merge patch against a version to the platform and returns its answer.
func (f *Fleet) Patch(base model.Version, merge any) (string, error) {
	return f.platform(http.MethodPost, "/v1/patches", map[string]any{"base-version": base, "merge": merge})
}

// SetPlatformFaults throws the fault switches of the platform stand-in.
func (f *Fleet) SetPlatformFaults(down, stale bool) error {
	_, err := f.platform(http.MethodPut, "/faults", map[string]bool{"down": down, "stale": stale})

	return err
}

func (f *Fleet) platform(method, path string, body any) (string, error) {
	return Send(method, "http://"+f.Platform.Address("standin")+path, body)
}

// SetFaults throws the fault switches of an endpoint stand-in.
func (f *Fleet) SetFaults(id model.EndpointID, faults map[string]any) error {
	_, err := Send(http.MethodPut, "http://"+f.Endpoints[id].Address("standin")+"/faults", faults)

	return err
}

const (
	readyTimeout = 60 * timekeeper.Second
	readyPoll    = 50 * timekeeper.Millis(1)
)

// Runs returns how often a key ran on all plain services together.
func (f *Fleet) Runs(key string) (int, error) {
	total := 0
	for id, e := range f.endpoints {
		if e.Service != PlainService {
			continue
		}
		response, err := http.Get("http://" + f.Endpoints[id].Address("standin") + "/runs")
		if err != nil {
			return 0, fmt.Errorf("launcher: %s: %w", id, err)
		}
		var runs map[string]int
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		if err != nil {
			return 0, fmt.Errorf("launcher: %s: %w", id, err)
		}
		total += runs[key]
	}

	return total, nil
}
