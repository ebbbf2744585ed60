package sloper

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/watcher"
)

const (
	serviceID = model.ServiceID("llm")
	modelID   = model.ModelID("m")
	regions   = 2
	domains   = 5
	rounds    = 2_000
	exchanges = 200
	repeats   = 5
)

var (
	runnerSizes  = []float64{105, 210, 420, 840}
	accountSizes = []float64{6_000, 12_000, 24_000, 48_000}
	chatSizes    = []float64{4_000, 8_000, 16_000}
	processSizes = []float64{125, 250, 500, 1_250}
)

// slopeOf measures a cost at each size.
func slopeOf(name, unit string, sizes []float64, target float64, cost func(size int) (float64, error)) (Slope, error) {
	s := Slope{Name: name, Unit: unit, Sizes: sizes, Target: target}
	for _, size := range sizes {
		c, err := cost(int(size))
		if err != nil {
			return s, err
		}
		s.Costs = append(s.Costs, c)
	}

	return s, nil
}

// heapOf returns the heap bytes that stay in use by what build returns.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)

	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// nanosOf returns the time of one call in nanoseconds, the best of some repeats.
func nanosOf(times int, call func(n int)) float64 {
	best := math.Inf(1)
	for repeat := range repeats {
		start := time.Now()
		for n := range times {
			call(repeat*times + n)
		}
		best = min(best, float64(time.Since(start).Nanoseconds())/float64(times))
	}

	return best
}

func document(runners, accounts int) model.Document {
	d := model.Document{
		Fleet: model.Fleet{
			Domains:   map[model.DomainID]model.Domain{},
			Services:  map[model.ServiceID]model.Service{serviceID: {Kind: model.KindEngine, LoadBound: 2, AdmissionBound: 1.5}},
			Endpoints: map[model.EndpointID]model.Endpoint{},
			ProcessKeys: map[string]model.ProcessKey{
				"sidecars": {Role: model.RoleSidecar, TokenSHA256: configurator.ContentHash([]byte("a")) + configurator.ContentHash([]byte("b"))},
			},
		},
		Accounts: map[model.AccountID]model.Account{},
	}
	for n := range domains {
		d.Fleet.Domains[domainID(n)] = model.Domain{Region: model.RegionID(fmt.Sprintf("region-%d", n%regions)), State: model.DomainInService}
	}
	for n := range runners {
		d.Fleet.Endpoints[model.EndpointID(fmt.Sprintf("runner-%04d", n))] = model.Endpoint{
			Service: serviceID, Domain: domainID(n), Models: []model.ModelID{modelID},
			Address: fmt.Sprintf("10.1.%d.%d:7000", n/250, n%250+1), MaxRunning: 64,
		}
	}
	for n := range accounts {
		id := fmt.Sprintf("account-%05d", n)
		digest := configurator.ContentHash([]byte(id)) + configurator.ContentHash([]byte(id+"x"))
		d.Accounts[model.AccountID(id)] = model.Account{TokenSHA256: digest}
	}

	return d
}

func domainID(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("domain-%d", n%domains))
}

func snapshotOf(runners int) (*configurator.Snapshot, error) {
	p, err := configurator.EncodeVersion(1, document(runners, 0))
	if err != nil {
		return nil, err
	}

	return configurator.NewSnapshot(p.Manifest, p.Values, configurator.AllParts)
}

func busyTable(s *configurator.Snapshot) *exchanger.Table {
	t := exchanger.NewTable()
	t.Reset(s.Endpoints)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range s.Endpoints {
		t.Observe(i, exchanger.Load{
			Running: random.IntN(20) + 1, State: exchanger.StateWarm, ObservedAt: timekeeper.Millis(1000 + random.IntN(4000)),
		})
	}

	return t
}

// serviceCalls counts the calls a second at the platform's services for a fleet, watches counted as one each.
func serviceCalls() (Slope, error) {
	return slopeOf("calls at the platform's services", "calls a second, by processes", processSizes, Processes, func(size int) (float64, error) {
		var vms []model.VM
		for n := range size {
			vms = append(vms, model.VM{ID: fmt.Sprintf("vm-%04d", n), Domain: domainID(n), State: model.VMLive})
		}
		calls := 0.0
		for _, vm := range vms {
			calls += 1 / follower.VMListIntervalSeconds
			if watcher.IsWatcher(vm, vms) {
				calls++
			} else {
				calls += 1 / follower.PollIntervalSeconds
			}
		}

		return calls, nil
	})
}
