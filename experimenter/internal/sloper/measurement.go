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
	serviceID   = model.ServiceID("llm")
	modelID     = model.ModelID("m")
	regionCount = 2
	domainCount = 5
	// callsPerRepeat is the number of calls that are timed together, except for very slow or very fast ones. The fastest of
	// repeatCount repeats counts. exchangeCount is the number of exchanges in a mean.
	callsPerRepeat = 2_000
	exchangeCount  = 200
	repeatCount    = 5
)

// Sizes to measure at. recordCounts are numbers of chats or idempotency keys.
var (
	endpointCounts = []float64{105, 210, 420, 840}
	accountCounts  = []float64{6_000, 12_000, 24_000, 48_000}
	recordCounts   = []float64{4_000, 8_000, 16_000}
	processCounts  = []float64{125, 250, 500, 1_250}
)

// measureAtSizes measures a cost at each size. The name and the unit are printed.
func measureAtSizes(
	name, unit string, sizes []float64, targetSize float64, measureCost func(size int) (float64, error),
) (Measurement, error) {
	m := Measurement{Name: name, Unit: unit, Sizes: sizes, TargetSize: targetSize}
	for _, size := range sizes {
		cost, err := measureCost(int(size))
		if err != nil {
			return m, err
		}
		m.Costs = append(m.Costs, cost)
	}

	return m, nil
}

// retainedHeapBytes returns the heap memory that the result of build retains, in bytes.
func retainedHeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)

	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// nanosPerCall returns the time of one call in nanoseconds. It times callCount calls together and takes the fastest of
// repeatCount repeats. The argument of call is different for each call.
func nanosPerCall(callCount int, call func(n int)) float64 {
	fastest := math.Inf(1)
	for repeat := range repeatCount {
		start := time.Now()
		for n := range callCount {
			call(repeat*callCount + n)
		}
		fastest = min(fastest, float64(time.Since(start).Nanoseconds())/float64(callCount))
	}

	return fastest
}

// newDocument returns a configuration document with a number of engine endpoints and client accounts.
func newDocument(endpointCount, accountCount int) model.Document {
	document := model.Document{
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
	for n := range domainCount {
		document.Fleet.Domains[domainID(n)] = model.Domain{
			Region: model.RegionID(fmt.Sprintf("region-%d", n%regionCount)), State: model.DomainInService,
		}
	}
	for n := range endpointCount {
		document.Fleet.Endpoints[model.EndpointID(fmt.Sprintf("runner-%04d", n))] = model.Endpoint{
			Service: serviceID, Domain: domainID(n), Models: []model.ModelID{modelID},
			Address: fmt.Sprintf("10.1.%d.%d:7000", n/250, n%250+1), MaxRunning: 64,
		}
	}
	for n := range accountCount {
		id := fmt.Sprintf("account-%05d", n)
		tokenDigest := configurator.ContentHash([]byte(id)) + configurator.ContentHash([]byte(id+"x"))
		document.Accounts[model.AccountID(id)] = model.Account{TokenSHA256: tokenDigest}
	}

	return document
}

func domainID(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("domain-%d", n%domainCount))
}

// newSnapshot returns a configuration with a number of engine endpoints and no client accounts.
func newSnapshot(endpointCount int) (*configurator.Snapshot, error) {
	version, err := configurator.EncodeVersion(1, newDocument(endpointCount, 0))
	if err != nil {
		return nil, err
	}

	return configurator.NewSnapshot(version.Manifest, version.Values, configurator.AllParts)
}

// newLoadTable returns a table with a random load for each endpoint, the same in each run.
func newLoadTable(s *configurator.Snapshot) *exchanger.Table {
	table := exchanger.NewTable()
	table.Reset(s.Endpoints)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range s.Endpoints {
		table.Observe(i, exchanger.Load{
			Running: random.IntN(20) + 1, State: exchanger.StateWarm, ObservedAt: timekeeper.Millis(1000 + random.IntN(4000)),
		})
	}

	return table
}

// platformCallRate returns the calls per second that the processes of a fleet make to the configuration service and the VM
// list. A watch of the configuration counts as one call per second.
func platformCallRate() (Measurement, error) {
	return measureAtSizes("calls at the platform's services", "calls a second, by processes", processCounts, TargetProcesses,
		func(processCount int) (float64, error) {
			var vms []model.VM
			for n := range processCount {
				vms = append(vms, model.VM{ID: fmt.Sprintf("vm-%04d", n), Domain: domainID(n), State: model.VMLive})
			}
			callsPerSecond := 0.0
			for _, vm := range vms {
				callsPerSecond += 1 / follower.VMListIntervalSeconds
				if watcher.IsWatcher(vm, vms) {
					callsPerSecond++
				} else {
					callsPerSecond += 1 / follower.PollIntervalSeconds
				}
			}

			return callsPerSecond, nil
		})
}
