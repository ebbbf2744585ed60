package measurer

import (
	"fmt"
	"io"
	"math/rand/v2"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/watcher"
)

// Rollout is how long a version takes to be in force at every process of the target size.
type Rollout struct {
	Case    string `json:"case"`
	Median  int    `json:"seconds-p50"`
	Longest int    `json:"seconds-longest"`
}

const (
	rolloutProcesses = 1_250
	rolloutDomains   = 5
	rolloutSeeds     = 20
	rolloutMost      = 120
)

// rolloutCase is one way for news to start and to be lost on its way.
type rolloutCase struct {
	name     string
	lost     float64
	watching bool
}

// Rollouts spreads a version by the exchange's own choice of peers, one exchange a second for each process.
func Rollouts() []Rollout {
	var results []Rollout
	for _, c := range []rolloutCase{
		{"watchers see it", 0, true},
		{"watchers see it, a fifth of exchanges lost", 0.2, true},
		{"one process alone sees it, a fifth lost", 0.2, false},
	} {
		var seconds []float64
		for seed := range uint64(rolloutSeeds) {
			seconds = append(seconds, float64(spread(c, seed+1)))
		}
		results = append(results, Rollout{Case: c.name, Median: int(percentile(seconds, 0.5)), Longest: int(percentile(seconds, 1))})
	}

	return results
}

func spread(c rolloutCase, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, seed))
	vms := make([]model.VM, rolloutProcesses)
	for i := range vms {
		vms[i] = model.VM{
			ID: fmt.Sprintf("vm-%04d", i), Address: "peer", State: model.VMLive,
			Domain: model.DomainID(fmt.Sprintf("domain-%d", i%rolloutDomains)),
		}
	}
	informed := make([]bool, len(vms))
	informed[random.IntN(len(vms))] = true
	choosers := make([]exchanger.PeerSelector, len(vms))
	for i := range vms {
		choosers[i] = exchanger.NewPeerSelector(vms[i].Domain, random)
		informed[i] = informed[i] || (c.watching && watcher.IsWatcher(vms[i], vms))
	}
	for second := 1; second <= rolloutMost; second++ {
		if spreadOnce(c, random, vms, choosers, informed) == len(vms) {
			return second
		}
	}

	return rolloutMost
}

// spreadOnce lets each process trade with the first peer that answers and returns how many are informed.
func spreadOnce(c rolloutCase, random *rand.Rand, vms []model.VM, choosers []exchanger.PeerSelector, informed []bool) int {
	for i := range vms {
		for _, peer := range choosers[i].Select(vms, vms[i].ID, follower.MaxPeerAttempts) {
			if random.Float64() < c.lost {
				continue
			}
			both := informed[i] || informed[peer]
			informed[i], informed[peer] = both, both

			break
		}
	}
	count := 0
	for _, yes := range informed {
		if yes {
			count++
		}
	}

	return count
}

// PrintRollouts writes the rollouts for people.
func PrintRollouts(out io.Writer, rollouts []Rollout) {
	fmt.Fprintf(out, "\nconfiguration in force at %d processes, %d seeds\n", rolloutProcesses, rolloutSeeds)
	for _, r := range rollouts {
		fmt.Fprintf(out, "%-44s p50 %3d s, longest %3d s\n", r.Case, r.Median, r.Longest)
	}
}
