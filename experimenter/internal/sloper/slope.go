package sloper

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"time"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/counter"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/holder"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/runner"
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
		d.Fleet.Domains[domainID(n)] = model.Domain{Region: model.RegionID(fmt.Sprintf("region-%d", n%regions)), State: model.DomainIn}
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
	p, err := configurator.Publish(1, document(runners, 0))
	if err != nil {
		return nil, err
	}

	return configurator.NewSnapshot(p.Manifest, p.Values, configurator.NeedsAll)
}

func busyTable(s *configurator.Snapshot) *exchanger.Table {
	t := exchanger.NewTable()
	t.Reset(s.Endpoints)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range s.Endpoints {
		t.Observe(i, exchanger.Load{
			Busy: random.IntN(20) + 1, State: exchanger.StateWarm, At: timekeeper.Millis(1000 + random.IntN(4000)),
		})
	}

	return t
}

func tableMemory() (Slope, error) {
	return slopeOf("load table", "bytes a process, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		bytes := heapOf(func() any { return busyTable(s) })
		runtime.KeepAlive(s)

		return bytes, err
	})
}

func vectorBytes() (Slope, error) {
	return slopeOf("load vector", "bytes, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}

		return float64(len(busyTable(s).Encode(5000, nil))), nil
	})
}

// exchangeWire counts the bytes of one exchange at the connection, both directions, over a kept connection.
func exchangeWire() (Slope, error) {
	return slopeOf("exchange on the wire", "bytes an exchange, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		wire, _, err := countExchange(busyTable(s).Encode(5000, nil))

		return wire, err
	})
}

func exchangeTime() (Slope, error) {
	return slopeOf("one exchange, both ends", "ns, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		_, nanos, err := countExchange(busyTable(s).Encode(5000, nil))

		return nanos, err
	})
}

// echo answers an exchange with a vector of the same size.
type echo struct {
	messengerconnect.UnimplementedPeerHandler
	vector []byte
}

// Exchange returns the vector.
func (e echo) Exchange(context.Context, *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return &messenger.ExchangeResponse{Process: "router-0001", ConfigurationVersion: 1 << 20, ConfigurationHash: 1 << 60, Vector: e.vector}, nil
}

// countExchange returns the bytes and the time of one exchange, each over a connection of its own.
func countExchange(vector []byte) (wire, nanos float64, err error) {
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewPeerHandler(echo{vector: vector}, follower.CompressionOptions()...))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, fmt.Errorf("sloper: %w", err)
	}
	server := runner.NewServer(mux)
	go func() { _ = runner.Serve(server, l) }()
	defer server.Close()
	var control counter.Counter
	client := messengerconnect.NewPeerClient(
		&http.Client{Transport: &http.Transport{DialContext: control.Dial, DisableKeepAlives: true}},
		"http://"+l.Addr().String(), follower.PeerClientOptions("token")...)
	start := time.Now()
	for range exchanges {
		_, err := client.Exchange(context.Background(), &messenger.ExchangeRequest{
			Process: "router-0001", ConfigurationVersion: 1 << 20, ConfigurationHash: 1 << 60, Vector: vector,
		})
		if err != nil {
			return 0, 0, fmt.Errorf("sloper: %w", err)
		}
	}

	return float64(control.Total()) / exchanges, float64(time.Since(start).Nanoseconds()) / exchanges, nil
}

func accountMemory() (Slope, error) {
	return slopeOf("accounts in a router", "bytes, by accounts", accountSizes, Accounts, func(size int) (float64, error) {
		p, err := configurator.Publish(1, document(10, size))
		if err != nil {
			return 0, err
		}
		var built *configurator.Snapshot
		kept := heapOf(func() any {
			built, err = configurator.NewSnapshot(p.Manifest, p.Values, configurator.NeedsAll)

			return built
		})
		raw := 0
		for _, v := range p.Values {
			raw += len(v)
		}

		return kept + float64(raw), err
	})
}

func accountShardBytes() (Slope, error) {
	return slopeOf("one account shard", "bytes, by accounts", accountSizes, Accounts, func(size int) (float64, error) {
		p, err := configurator.Publish(1, document(10, size))
		if err != nil {
			return 0, err
		}
		total := 0
		for _, v := range p.Values {
			total += len(v)
		}

		return float64(total) / float64(len(p.Values)), nil
	})
}

func fleetPart(size int) ([]byte, error) {
	raw, err := json.Marshal(document(size, 0).Fleet)
	if err != nil {
		return nil, fmt.Errorf("sloper: fleet part: %w", err)
	}

	return raw, nil
}

func fleetPartBytes() (Slope, error) {
	return slopeOf("fleet part", "bytes, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		raw, err := fleetPart(size)

		return float64(len(raw)), err
	})
}

func fleetPartWire() (Slope, error) {
	return slopeOf("fleet part, gzip", "bytes on the wire, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		raw, err := fleetPart(size)
		if err != nil {
			return 0, err
		}
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		if _, err := z.Write(raw); err != nil {
			return 0, fmt.Errorf("sloper: gzip: %w", err)
		}
		if err := z.Close(); err != nil {
			return 0, fmt.Errorf("sloper: gzip: %w", err)
		}

		return float64(packed.Len()), nil
	})
}

func directoryMemory() (Slope, error) {
	return slopeOf("holder directory", "bytes a sidecar, by chats", chatSizes, ChatsPerHome, func(size int) (float64, error) {
		return heapOf(func() any {
			d, err := holder.NewDirectory(size)
			if err != nil {
				return nil
			}
			for n := range size {
				d.Note(model.ChatKey(n+1), "runner-0001")
				d.Note(model.ChatKey(n+1), "runner-0002")
			}

			return d
		}), nil
	})
}

func keyMemory() (Slope, error) {
	const answerBytes = 200

	return slopeOf("key records", "bytes a sidecar, by keys", chatSizes, deduplicator.DefaultMaxRecords, func(size int) (float64, error) {
		return heapOf(func() any { return filledTable(size, answerBytes) }), nil
	})
}

var homes = []model.HomeGeneration{{Number: 1, Endpoints: []model.EndpointID{"self"}}}

func filledTable(size, answerBytes int) *deduplicator.Deduplicator {
	clock := timekeeper.NewManual(timekeeper.Hour)
	d := deduplicator.NewDeduplicator("self", clock.Clock())
	clock.Advance(timekeeper.Hour)
	for n := range size {
		beginKey(d, n, answerBytes)
	}

	return d
}

func beginKey(d *deduplicator.Deduplicator, n, answerBytes int) {
	k := deduplicator.Key{Account: "a", Service: serviceID, Key: model.IdempotencyKey(fmt.Sprintf("key-%032d", n))}
	d.Begin(k, model.Digest(n), homes, deduplicator.Policy{ResendWindow: timekeeper.Minute, Retention: timekeeper.Hour})
	d.FinishRan(k, deduplicator.Answer{Status: 201, Body: make([]byte, answerBytes)})
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
			calls += 1 / follower.VMListSeconds
			if watcher.IsWatcher(vm, vms) {
				calls++
			} else {
				calls += 1 / follower.PollSeconds
			}
		}

		return calls, nil
	})
}
