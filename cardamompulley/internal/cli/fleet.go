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
	askTimeout = 3 * timekeeper.Second
	askAtOnce  = 32
)

// processVersion is what one process says is in force.
type processVersion struct {
	Process string        `json:"process"`
	Role    model.Role    `json:"role"`
	State   model.VMState `json:"state"`
	Version uint64        `json:"configuration-version"`
	Problem string        `json:"problem,omitempty"`
}

// askVersions asks every process of the VM list which version it holds; asking changes nothing.
func askVersions(ctx context.Context, vms []model.VM, token string) []processVersion {
	client := &http.Client{Timeout: askTimeout.Duration()}
	asker := iter.Mapper[model.VM, processVersion]{MaxGoroutines: askAtOnce}

	return asker.Map(vms, func(vm *model.VM) processVersion {
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

// fleetCommand shows the fleet as a router sees it, and the version in force at each process.
type fleetCommand struct {
	console
	router, token string
}

func (*fleetCommand) Name() string     { return "fleet" }
func (*fleetCommand) Synopsis() string { return "show endpoints, load, state and versions in force" }
func (*fleetCommand) Usage() string {
	return "fleet --router URL [--token TOKEN] [--output text|json]\n"
}

// SetFlags declares the flags.
func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "URL of a router's operator port")
	f.StringVar(&c.token, "token", "", "operator token, to ask each process for its version")
	c.setOutput(f)
}

type fleetResult struct {
	exposer.FleetView
	Processes []processVersion `json:"processes,omitempty"`
}

// Execute asks and prints.
func (c *fleetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || c.router == "" {
		return c.fail(fmt.Errorf("%w: %s", errUsage, c.Usage()))
	}
	var result fleetResult
	if err := fetchJSON(c.router+"/fleet", &result.FleetView); err != nil {
		return c.fail(err)
	}
	if c.token != "" {
		result.Processes = askVersions(ctx, result.VMs, c.token)
	}

	return c.show(result, func() { c.print(result) })
}

func (c *fleetCommand) print(r fleetResult) {
	fmt.Fprintf(c.out, "seen by %s, configuration version %d\n", r.Process, r.ConfigurationVersion)
	for id, d := range r.Domains {
		fmt.Fprintf(c.out, "domain   %-16s %s\n", id, d.State)
	}
	for _, e := range r.Endpoints {
		seen := fmt.Sprintf("seen %d ms ago", e.Age)
		if e.State == exchanger.StateUnknown.String() {
			seen = "not heard of yet"
		}
		fmt.Fprintf(c.out, "endpoint %-16s service %-12s domain %-12s busy %-4d %-8s %s\n",
			e.ID, e.Service, e.Domain, e.Running, e.State, seen)
	}
	for _, p := range r.Processes {
		fmt.Fprintf(c.out, "process  %-24s %-8s %-8s version %d %s\n", p.Process, p.Role, p.State, p.Version, p.Problem)
	}
}

// rolloutCommand waits until a version is in force at every live process.
type rolloutCommand struct {
	console
	router, token string
	wait          uint64
	timeout       time.Duration
}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "wait until a version is in force everywhere" }
func (*rolloutCommand) Usage() string {
	return "rollout --router URL --token TOKEN --wait VERSION [--timeout 30s] [--output text|json]\n"
}

// SetFlags declares the flags.
func (c *rolloutCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "URL of a router's operator port")
	f.StringVar(&c.token, "token", "", "operator token")
	f.Uint64Var(&c.wait, "wait", 0, "version to wait for")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest wait")
	c.setOutput(f)
}

const rolloutPoll = 500 * timekeeper.Millis(1)

// Execute polls until every live process holds the version or the wait is over.
func (c *rolloutCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || c.router == "" || c.wait == 0 {
		return c.fail(fmt.Errorf("%w: %s", errUsage, c.Usage()))
	}
	deadline := time.Now().Add(c.timeout)
	for {
		var view exposer.FleetView
		if err := fetchJSON(c.router+"/fleet", &view); err != nil {
			return c.fail(err)
		}
		behind := c.behind(askVersions(ctx, view.VMs, c.token))
		if len(behind) == 0 && len(view.VMs) > 0 {
			return c.show(map[string]any{"version": c.wait, "in-force": true}, func() {
				fmt.Fprintf(c.out, "version %d is in force at all %d processes\n", c.wait, len(view.VMs))
			})
		}
		if time.Now().After(deadline) {
			return c.fail(fmt.Errorf("%w: %d: behind: %v", errNotInForce, c.wait, behind))
		}
		time.Sleep(rolloutPoll.Duration())
	}
}

func (c *rolloutCommand) behind(processes []processVersion) []string {
	var names []string
	for _, p := range processes {
		if p.State == model.VMLive && p.Version < c.wait {
			names = append(names, p.Process)
		}
	}

	return names
}
