package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"
	"github.com/sourcegraph/conc/iter"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/exposer"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	queryTimeout         = 3 * timekeeper.Second
	maxConcurrentQueries = 32
)

// processVersion is the configuration version in force at one process. Problem is the error code if the process could not be
// queried.
type processVersion struct {
	Process string        `json:"process"`
	Role    model.Role    `json:"role"`
	State   model.VMState `json:"state"`
	Version uint64        `json:"configuration-version"`
	Problem string        `json:"problem,omitempty"`
}

// queryVersions returns the configuration version of every process on the VM list. The queries do not change the state of
// the processes.
func queryVersions(ctx context.Context, vms []model.VM, token string) []processVersion {
	client := &http.Client{Timeout: queryTimeout.Duration()}
	mapper := iter.Mapper[model.VM, processVersion]{MaxGoroutines: maxConcurrentQueries}

	return mapper.Map(vms, func(vm *model.VM) processVersion {
		result := processVersion{Process: vm.ID, Role: vm.Role, State: vm.State}
		peer := messengerconnect.NewPeerClient(client, "http://"+vm.Address, follower.WithToken(token))
		response, err := peer.Exchange(ctx, &messenger.ExchangeRequest{Process: "operator"})
		if err != nil {
			result.Problem = connect.CodeOf(err).String()

			return result
		}
		result.Version = response.ConfigurationVersion

		return result
	})
}

// fleetCommand shows the fleet as known to one router and, given a token, the configuration version of each process.
type fleetCommand struct {
	console
	router, token string
}

func (*fleetCommand) Name() string     { return "fleet" }
func (*fleetCommand) Synopsis() string { return "show endpoints, loads, states and versions in force" }
func (*fleetCommand) Usage() string {
	return "fleet --router URL [--token TOKEN] [--output text|json]\n"
}

// SetFlags adds the flags of the command.
func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "URL of a router's operator port")
	f.StringVar(&c.token, "token", "", "operator token, for querying the version of each process")
	c.addOutputFlag(f)
}

type fleetResult struct {
	exposer.FleetView
	Processes []processVersion `json:"processes,omitempty"`
}

// Execute queries the router and the processes and prints the result.
func (c *fleetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || c.router == "" {
		return c.fail(fmt.Errorf("%w: %s", errUsage, c.Usage()))
	}
	var result fleetResult
	if err := fetchJSON(c.router+"/fleet", &result.FleetView); err != nil {
		return c.fail(err)
	}
	if c.token != "" {
		result.Processes = queryVersions(ctx, result.VMs, c.token)
	}

	return c.printResult(result, func() { c.printText(result) })
}

func (c *fleetCommand) printText(r fleetResult) {
	fmt.Fprintf(c.out, "seen by %s, configuration version %d\n", r.Process, r.ConfigurationVersion)
	for id, d := range r.Domains {
		fmt.Fprintf(c.out, "domain   %-16s %s\n", id, d.State)
	}
	for _, e := range r.Endpoints {
		loadAge := fmt.Sprintf("seen %d ms ago", e.Age)
		if e.State == exchanger.StateUnknown.String() {
			loadAge = "not heard of yet"
		}
		fmt.Fprintf(c.out, "endpoint %-16s service %-12s domain %-12s busy %-4d %-8s %s\n",
			e.ID, e.Service, e.Domain, e.Running, e.State, loadAge)
	}
	for _, p := range r.Processes {
		fmt.Fprintf(c.out, "process  %-24s %-8s %-8s version %d %s\n", p.Process, p.Role, p.State, p.Version, p.Problem)
	}
}

// rolloutCommand waits until a configuration version is in force at every live process.
type rolloutCommand struct {
	console
	router, token string
	version       uint64
	timeout       time.Duration
}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "wait until a version is in force everywhere" }
func (*rolloutCommand) Usage() string {
	return "rollout --router URL --token TOKEN --wait VERSION [--timeout 30s] [--output text|json]\n"
}

// SetFlags adds the flags of the command.
func (c *rolloutCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "URL of a router's operator port")
	f.StringVar(&c.token, "token", "", "operator token")
	f.Uint64Var(&c.version, "wait", 0, "configuration version to wait for")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "maximum time to wait")
	c.addOutputFlag(f)
}

const rolloutPollInterval = 500 * timekeeper.Millis(1)

// Execute polls until every live process has the version in force. It fails after the timeout.
func (c *rolloutCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || c.router == "" || c.version == 0 {
		return c.fail(fmt.Errorf("%w: %s", errUsage, c.Usage()))
	}
	deadline := time.Now().Add(c.timeout)
	for {
		var view exposer.FleetView
		if err := fetchJSON(c.router+"/fleet", &view); err != nil {
			return c.fail(err)
		}
		behind := c.processesBehind(queryVersions(ctx, view.VMs, c.token))
		if len(behind) == 0 && len(view.VMs) > 0 {
			return c.printResult(map[string]any{"version": c.version, "in-force": true}, func() {
				fmt.Fprintf(c.out, "version %d is in force at all %d processes\n", c.version, len(view.VMs))
			})
		}
		if time.Now().After(deadline) {
			return c.fail(fmt.Errorf("%w: version %d: processes behind: %v", errNotInForce, c.version, behind))
		}
		time.Sleep(rolloutPollInterval.Duration())
	}
}

// processesBehind returns the names of the live processes with a lower version.
func (c *rolloutCommand) processesBehind(processes []processVersion) []string {
	var names []string
	for _, p := range processes {
		if p.State == model.VMLive && p.Version < c.version {
			names = append(names, p.Process)
		}
	}

	return names
}
