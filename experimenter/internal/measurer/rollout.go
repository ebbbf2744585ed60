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

// RolloutResult is the time that a configuration version takes to reach all processes of a fleet of the target size, over
// several seeds. Case describes which processes have the version at first, and how many exchanges fail.
type RolloutResult struct {
	Case          string `json:"case"`
	MedianSeconds int    `json:"seconds-p50"`
	MaxSeconds    int    `json:"seconds-longest"`
}

const (
	rolloutProcesses = 1_250
	rolloutDomains   = 5
	rolloutSeeds     = 20
	// maxRolloutSeconds ends a simulation in which the version does not reach all processes.
	maxRolloutSeconds = 120
)

// rolloutCase holds the conditions of a rollout. One random process always has the version at first, and all watchers of the
// configuration service do if watchersHaveVersion. An exchange with a peer fails with lossProbability.
type rolloutCase struct {
	name                string
	lossProbability     float64
	watchersHaveVersion bool
}

// MeasureRollouts simulates how a configuration version spreads by gossip. Each process exchanges once per second with a
// peer selected by exchanger.PeerSelector.
func MeasureRollouts() []RolloutResult {
	var results []RolloutResult
	for _, c := range []rolloutCase{
		{"watchers see it", 0, true},
		{"watchers see it, a fifth of exchanges lost", 0.2, true},
		{"one process alone sees it, a fifth lost", 0.2, false},
	} {
		var seconds []float64
		for seed := range uint64(rolloutSeeds) {
			seconds = append(seconds, float64(simulateRollout(c, seed+1)))
		}
		results = append(results, RolloutResult{
			Case: c.name, MedianSeconds: int(percentile(seconds, 0.5)), MaxSeconds: int(percentile(seconds, 1)),
		})
	}

	return results
}

// simulateRollout returns the seconds until all processes have the version, at most maxRolloutSeconds.
func simulateRollout(c rolloutCase, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, seed))
	vms := make([]model.VM, rolloutProcesses)
	for i := range vms {
		vms[i] = model.VM{
			ID: fmt.Sprintf("vm-%04d", i), Address: "peer", State: model.VMLive,
			Domain: model.DomainID(fmt.Sprintf("domain-%d", i%rolloutDomains)),
		}
	}
	hasVersion := make([]bool, len(vms))
	hasVersion[random.IntN(len(vms))] = true
	selectors := make([]exchanger.PeerSelector, len(vms))
	for i := range vms {
		selectors[i] = exchanger.NewPeerSelector(vms[i].Domain, random)
		hasVersion[i] = hasVersion[i] || (c.watchersHaveVersion && watcher.IsWatcher(vms[i], vms))
	}
	for second := 1; second <= maxRolloutSeconds; second++ {
		if runExchangeRound(c, random, vms, selectors, hasVersion) == len(vms) {
			return second
		}
	}

	return maxRolloutSeconds
}

// runExchangeRound lets each process exchange with the first selected peer that answers, and returns the number of processes
// that have the version.
func runExchangeRound(c rolloutCase, random *rand.Rand, vms []model.VM, selectors []exchanger.PeerSelector, hasVersion []bool) int {
	for i := range vms {
		for _, peer := range selectors[i].Select(vms, vms[i].ID, follower.MaxPeerAttempts) {
			if random.Float64() < c.lossProbability {
				continue
			}
			eitherHasVersion := hasVersion[i] || hasVersion[peer]
			hasVersion[i], hasVersion[peer] = eitherHasVersion, eitherHasVersion

			break
		}
	}
	count := 0
	for _, has := range hasVersion {
		if has {
			count++
		}
	}

	return count
}

// PrintRolloutResults writes the results as text lines.
func PrintRolloutResults(out io.Writer, rollouts []RolloutResult) {
	fmt.Fprintf(out, "\nconfiguration in force at %d processes, %d seeds\n", rolloutProcesses, rolloutSeeds)
	for _, r := range rollouts {
		fmt.Fprintf(out, "%-44s p50 %3d s, longest %3d s\n", r.Case, r.MedianSeconds, r.MaxSeconds)
	}
}
