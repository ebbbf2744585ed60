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

// Tokens of the launched fleet, and the client account of CallerToken.
const (
	CallerToken   = "demo-caller-token"
	Account       = model.AccountID("demo-account")
	RouterToken   = "demo-router-token"
	SidecarToken  = "demo-sidecar-token"
	OperatorToken = "demo-operator-token"
)

// Services of the launched fleet, and the model of EngineService.
const (
	EngineService = model.ServiceID("coach-llm")
	PlainService  = model.ServiceID("lane-app")
	Model         = model.ModelID("coach-1")
)

// ErrNotReady means that a process was not ready, or a polled condition did not hold, in time.
var ErrNotReady = errors.New("launcher: not ready in time")

// Spec describes the fleet that Launch starts.
type Spec struct {
	// BinDir is the directory of the built programs.
	BinDir string
	// Engines, PlainEndpoints and Routers are numbers of processes. Each endpoint gets a sidecar. Domains is the number of
	// failure domains that they are spread over.
	Engines        int
	PlainEndpoints int
	Routers        int
	Domains        int
	// EngineArgs are additional arguments of every engine stand-in.
	EngineArgs []string
	// SidecarSettings are merged into the settings of every sidecar.
	SidecarSettings map[string]any
	// RouterSettings are merged into the settings of every router.
	RouterSettings map[string]any
	// ModifyDocument alters the configuration before it is published. It may be nil.
	ModifyDocument func(*model.Document)
	// Logs receives the output of all processes.
	Logs io.Writer
}

// Fleet is a running fleet of routers, sidecars, endpoints and the platform, each a process.
type Fleet struct {
	Platform  *Process
	Endpoints map[model.EndpointID]*Process
	Sidecars  map[model.EndpointID]*Process
	Routers   []*Process

	processGroup

	spec            Spec
	endpointEntries map[model.EndpointID]model.Endpoint
	vmList          []model.VM
}

// Launch starts a fleet and returns it when every router and sidecar is ready and has the published configuration. On errors
// it kills all processes. It returns ErrNotStarted or ErrNotReady if a process does not start or get ready in time.
func Launch(spec Spec) (*Fleet, error) {
	g, err := newProcessGroup(spec.BinDir, spec.Logs)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		processGroup: g, spec: spec,
		Endpoints:       map[model.EndpointID]*Process{},
		Sidecars:        map[model.EndpointID]*Process{},
		endpointEntries: map[model.EndpointID]model.Endpoint{},
	}
	if err := f.startAll(); err != nil {
		f.Kill()

		return nil, err
	}

	return f, nil
}

func (f *Fleet) startAll() error {
	var err error
	f.Platform, err = f.startProgram("platform", "standin", []string{"standin"}, "platform")
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
	if err := f.publishInitialState(); err != nil {
		return err
	}

	if err := f.WaitUntilReady(); err != nil {
		return err
	}

	return f.waitForConfiguration()
}

func (f *Fleet) startEndpoints() error {
	for n := range f.spec.Engines {
		arguments := append([]string{"engine"}, f.spec.EngineArgs...)
		id := model.EndpointID(fmt.Sprintf("engine-%d", n+1))
		e := model.Endpoint{Service: EngineService, Models: []model.ModelID{Model}, MaxRunning: 32}
		if err := f.startEndpoint(id, n, e, arguments); err != nil {
			return err
		}
	}
	for n := range f.spec.PlainEndpoints {
		id := model.EndpointID(fmt.Sprintf("lane-%d", n+1))
		if err := f.startEndpoint(id, n, model.Endpoint{Service: PlainService}, []string{"plain"}); err != nil {
			return err
		}
	}

	return nil
}

// domainID returns the failure domain of the n-th router, engine or plain endpoint.
func (f *Fleet) domainID(n int) model.DomainID {
	return model.DomainID("domain-" + string(rune('a'+n%f.spec.Domains)))
}

func (f *Fleet) startEndpoint(id model.EndpointID, n int, e model.Endpoint, arguments []string) error {
	e.Domain = f.domainID(n)
	endpoint, err := f.startProgram(string(id), "standin", []string{"standin"}, arguments...)
	if err != nil {
		return err
	}
	f.Endpoints[id] = endpoint
	f.endpointEntries[id] = e

	return f.StartSidecar(id, "127.0.0.1:0")
}

// StartSidecar starts the sidecar of an endpoint, which listens for work on workAddress. PublishVMs must be called
// afterwards to publish its peer address.
func (f *Fleet) StartSidecar(id model.EndpointID, workAddress string) error {
	e := f.endpointEntries[id]
	name := "sidecar-" + string(id)
	path, err := f.writeSettings(name, string(e.Domain), SidecarToken, map[string]any{
		"endpoint":     id,
		"endpoint-url": "http://" + f.Endpoints[id].Address("standin"),
		"work-listen":  workAddress,
	}, f.spec.SidecarSettings)
	if err != nil {
		return err
	}
	p, err := f.startProgram(name, "sidecar", []string{"work", "peer", "operator"}, "--settings", path)
	if err != nil {
		return err
	}
	f.Sidecars[id] = p
	e.Address = p.Address("work")
	f.endpointEntries[id] = e
	f.setVM(model.VM{
		ID: name, Role: model.RoleSidecar, Address: p.Address("peer"), Domain: e.Domain, State: model.VMLive,
	})

	return nil
}

func (f *Fleet) startRouter(n int) error {
	name := fmt.Sprintf("router-%d", n+1)
	path, err := f.writeSettings(name, string(f.domainID(n)), RouterToken, f.spec.RouterSettings)
	if err != nil {
		return err
	}
	p, err := f.startProgram(name, "router", []string{"callers", "peer", "operator"}, "--settings", path)
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, p)
	f.setVM(model.VM{
		ID: name, Role: model.RoleRouter, Address: p.Address("peer"), Domain: f.domainID(n), State: model.VMLive,
	})

	return nil
}

// writeSettings writes the settings file of a process, with the overrides merged into it, and returns its path.
func (f *Fleet) writeSettings(name, domain, token string, overrides ...map[string]any) (string, error) {
	platform := "http://" + f.Platform.Address("standin")
	s := map[string]any{
		"process": name, "domain": domain, "token": token,
		"configuration-service": platform, "vm-list": platform,
	}
	for _, override := range overrides {
		for k, v := range override {
			s[k] = v
		}
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", fmt.Errorf("launcher: encode settings of %s: %w", name, err)
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return "", fmt.Errorf("launcher: write settings of %s: %w", name, err)
	}

	return path, nil
}

// setVM adds a VM to the list or replaces it.
func (f *Fleet) setVM(vm model.VM) {
	for i := range f.vmList {
		if f.vmList[i].ID == vm.ID {
			f.vmList[i] = vm

			return
		}
	}
	f.vmList = append(f.vmList, vm)
}

// SetVMState sets the state of a process in the VM list and publishes the list.
func (f *Fleet) SetVMState(process string, state model.VMState) error {
	for i := range f.vmList {
		if f.vmList[i].ID == process {
			f.vmList[i].State = state
		}
	}

	return f.PublishVMs()
}

// PublishVMs publishes the VM list to the platform.
func (f *Fleet) PublishVMs() error {
	_, err := f.callPlatform(http.MethodPut, "/v1/vms", f.vmList)

	return err
}

func (f *Fleet) publishInitialState() error {
	d := f.Document()
	if f.spec.ModifyDocument != nil {
		f.spec.ModifyDocument(&d)
	}
	if _, err := f.Patch(1, d); err != nil {
		return err
	}

	return f.PublishVMs()
}

// Patch submits a merge patch against a configuration version to the platform and returns the response, which is the new
// version.
func (f *Fleet) Patch(base model.Version, merge any) (string, error) {
	return f.callPlatform(http.MethodPost, "/v1/patches", map[string]any{"base-version": base, "merge": merge})
}

// SetPlatformFaults replaces the faults of the platform stand-in: unavailable makes all reads fail, serveStale withholds new
// versions from readers.
func (f *Fleet) SetPlatformFaults(unavailable, serveStale bool) error {
	_, err := f.callPlatform(http.MethodPut, "/faults", map[string]bool{"down": unavailable, "stale": serveStale})

	return err
}

func (f *Fleet) callPlatform(method, path string, body any) (string, error) {
	return SendJSON(method, "http://"+f.Platform.Address("standin")+path, body)
}

// SetEndpointFaults replaces the faults of an endpoint stand-in.
func (f *Fleet) SetEndpointFaults(id model.EndpointID, faults map[string]any) error {
	_, err := SendJSON(http.MethodPut, "http://"+f.Endpoints[id].Address("standin")+"/faults", faults)

	return err
}

const (
	pollTimeout  = 60 * timekeeper.Second
	pollInterval = 50 * timekeeper.Millis(1)
)

// ExecutionCount returns how often requests with an idempotency key were executed, summed over all plain endpoints.
func (f *Fleet) ExecutionCount(key string) (int, error) {
	total := 0
	for id, e := range f.endpointEntries {
		if e.Service != PlainService {
			continue
		}
		response, err := http.Get("http://" + f.Endpoints[id].Address("standin") + "/runs")
		if err != nil {
			return 0, fmt.Errorf("launcher: fetch executions of %s: %w", id, err)
		}
		var executions map[string]int
		err = json.NewDecoder(response.Body).Decode(&executions)
		_ = response.Body.Close()
		if err != nil {
			return 0, fmt.Errorf("launcher: decode executions of %s: %w", id, err)
		}
		total += executions[key]
	}

	return total, nil
}
