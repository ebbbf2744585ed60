package follower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/counter"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/watcher"
)

const (
	exchangeInterval = timekeeper.Second
	// pollInterval is the time between two reads of the configuration service by a process that does not watch it.
	pollInterval = 30 * timekeeper.Second
	// initialPollInterval is the time between two reads while there is no configuration.
	initialPollInterval = 500 * timekeeper.Millis(1)
	vmListInterval      = 3 * timekeeper.Second
	peerTimeout         = timekeeper.Second
	budgetBurstSeconds  = 10
	// maxIdleConnections is the maximum number of idle connections to peers and platform services.
	maxIdleConnections = 16
	// maxHeadBytes bounds the head of an answer of a peer or a platform service.
	maxHeadBytes = 64 << 10
)

// Intervals in seconds between two reads of the platform's services by one process, for calculating the services' load.
const (
	PollIntervalSeconds   = float64(pollInterval) / float64(timekeeper.Second)
	VMListIntervalSeconds = float64(vmListInterval) / float64(timekeeper.Second)
)

// Follower holds a process's view of the fleet. It is safe for concurrent use.
type Follower struct {
	Clock timekeeper.Clock
	Log   logger.Logger
	// ControlTraffic counts the bytes on connections to peers and platform services.
	ControlTraffic counter.Counter
	// OnSnapshot is called with each configuration that is put in force. It must be set before Run.
	OnSnapshot func(*configurator.Snapshot)

	settings     Settings
	self         model.VM
	platform     *watcher.Client
	peerClient   *http.Client
	peerSelector exchanger.PeerSelector
	random       *rand.Rand
	snapshot     atomic.Pointer[configurator.Snapshot]
	// exchangeNow makes the next exchange start without waiting for its interval.
	exchangeNow chan struct{}
	done        chan struct{}

	mu        sync.Mutex
	acceptor  *configurator.Acceptor
	loadTable *exchanger.Table
	suspects  *quarantiner.SuspectTable
	groups    *placer.Groups
	budget    *exchanger.ByteBudget
	vms       []model.VM
	// countedBytes is the part of ControlTraffic that has been charged to the budget.
	countedBytes int64
}

// NewFollower returns the follower of a process with a role that needs the filtered configuration parts.
func NewFollower(s Settings, role model.Role, filter configurator.PartFilter, clock timekeeper.Clock, log logger.Logger) *Follower {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	now := clock.Now()
	f := &Follower{
		Clock:        clock,
		Log:          log,
		OnSnapshot:   func(*configurator.Snapshot) {},
		settings:     s,
		self:         s.VM(role),
		peerSelector: exchanger.NewPeerSelector(model.DomainID(s.Domain), random),
		random:       random,
		exchangeNow:  make(chan struct{}, 1),
		done:         make(chan struct{}),
		acceptor:     configurator.NewAcceptor(filter, now),
		loadTable:    exchanger.NewTable(),
		suspects:     quarantiner.NewSuspectTable(),
		groups:       placer.NewGroups(),
		budget:       exchanger.NewByteBudget(s.ControlBytesPerSecond, budgetBurstSeconds*s.ControlBytesPerSecond, now),
	}
	f.budget.MaxDebt = s.ControlBytesPerSecond
	transport := &http.Transport{
		DialContext: f.ControlTraffic.DialContext, MaxIdleConns: maxIdleConnections, MaxResponseHeaderBytes: maxHeadBytes,
	}
	f.peerClient = &http.Client{Transport: transport, Timeout: peerTimeout.Duration()}
	f.platform = watcher.NewClient(s.ConfigurationService, s.VMList, transport)

	return f
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (f *Follower) Snapshot() *configurator.Snapshot {
	return f.snapshot.Load()
}

// IsReady reports whether the process has a configuration and, since its start or its last long pause, has confirmed that
// the configuration is current or waited for the maximum time. It detects a long pause itself.
func (f *Follower) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.acceptor.Readiness.IsReady(f.Clock.Now(), f.peerCount()) && f.acceptor.Current() != nil
}

func (f *Follower) peerCount() int {
	count := 0
	for _, v := range f.vms {
		if v.ID != f.self.ID {
			count++
		}
	}

	return count
}

// View is a process's view of the fleet. All its parts belong to the same configuration.
type View struct {
	Snapshot  *configurator.Snapshot
	LoadTable *exchanger.Table
	Suspects  *quarantiner.SuspectTable
	Groups    *placer.Groups
}

// WithView calls use with the view while holding the follower's lock. The function must be short and not call the follower.
func (f *Follower) WithView(use func(View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(View{Snapshot: f.snapshot.Load(), LoadTable: f.loadTable, Suspects: f.suspects, Groups: f.groups})
}

// IsVMDraining reports whether the VM list shows this process's VM as draining.
func (f *Follower) IsVMDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.ID == f.self.ID {
			return v.State == model.VMDraining
		}
	}

	return false
}

// ObserveVersion triggers an exchange if a version seen on a request or a response is higher than the one in force.
func (f *Follower) ObserveVersion(version model.Version) {
	s := f.Snapshot()
	if s != nil && version <= s.Version {
		return
	}
	f.TriggerExchange()
}

// TriggerExchange makes the next exchange with a peer start without waiting for its interval.
func (f *Follower) TriggerExchange() {
	select {
	case f.exchangeNow <- struct{}{}:
	default:
	}
}

// Run keeps the view up to date until the context ends. It must be called once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var g conc.WaitGroup
	g.Go(func() { f.pollVMList(ctx) })
	g.Go(func() { f.exchangeWithPeers(ctx) })
	g.Go(func() { f.followConfigurationService(ctx) })
	g.Wait()
}

// offerConfiguration puts a configuration in force if the acceptor accepts it.
func (f *Follower) offerConfiguration(manifest []byte, values map[string][]byte) {
	f.mu.Lock()
	verdict, err := f.acceptor.Offer(manifest, values)
	current := f.acceptor.Current()
	if verdict == configurator.VerdictAccepted {
		f.loadTable.Reset(current.Endpoints)
		f.groups.Reset(current)
		f.snapshot.Store(current)
	}
	f.mu.Unlock()

	f.logVerdict(verdict, err, current)
	if verdict == configurator.VerdictAccepted {
		f.OnSnapshot(current)
	}
}

func (f *Follower) logVerdict(verdict configurator.Verdict, err error, current *configurator.Snapshot) {
	switch verdict {
	case configurator.VerdictAccepted:
		f.Log.Write(logger.EventConfigAccepted, logger.Int("version", current.Version))
	case configurator.VerdictInvalid:
		if err != nil {
			f.Log.Write(logger.EventConfigInvalid, logger.Err(err))
		}
	case configurator.VerdictConflict:
		f.Log.Write(logger.EventConfigConflict, logger.Int("version", current.Version))
	default:
	}
}
