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
	pollInterval     = 30 * timekeeper.Second
	firstPolls       = 500 * timekeeper.Millis(1)
	vmInterval       = 3 * timekeeper.Second
	peerTimeout      = timekeeper.Second
	budgetBurst      = 10
	maxIdlePeers     = 16
)

// How often a process reads the platform's services, for working out their load.
const (
	PollSeconds   = float64(pollInterval) / float64(timekeeper.Second)
	VMListSeconds = float64(vmInterval) / float64(timekeeper.Second)
)

// Follower holds a process's view of the fleet.
type Follower struct {
	Clock   timekeeper.Clock
	Log     logger.Logger
	Control counter.Counter
	// OnSnapshot is called with each configuration that comes into force.
	OnSnapshot func(*configurator.Snapshot)

	settings Settings
	self     model.VM
	platform *watcher.Client
	peers    *http.Client
	chooser  exchanger.Chooser
	random   *rand.Rand
	snapshot atomic.Pointer[configurator.Snapshot]
	hurry    chan struct{}
	done     chan struct{}

	mu       sync.Mutex
	acceptor *configurator.Acceptor
	table    *exchanger.Table
	register *quarantiner.Register
	groups   *placer.Groups
	budget   *exchanger.Budget
	vms      []model.VM
	spent    int64
}

// NewFollower returns the follower of a process that holds the selected configuration parts.
func NewFollower(s Settings, role model.Role, needs configurator.Needs, clock timekeeper.Clock, log logger.Logger) *Follower {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	now := clock.Now()
	f := &Follower{
		Clock:      clock,
		Log:        log,
		OnSnapshot: func(*configurator.Snapshot) {},
		settings:   s,
		self:       s.VM(role),
		chooser:    exchanger.NewChooser(model.DomainID(s.Domain), random),
		random:     random,
		hurry:      make(chan struct{}, 1),
		done:       make(chan struct{}),
		acceptor:   configurator.NewAcceptor(needs, now),
		table:      exchanger.NewTable(),
		register:   quarantiner.NewRegister(),
		groups:     placer.NewGroups(),
		budget:     exchanger.NewBudget(s.ControlBytes, budgetBurst*s.ControlBytes, now),
	}
	transport := &http.Transport{DialContext: f.Control.Dial, MaxIdleConns: maxIdlePeers}
	f.peers = &http.Client{Transport: transport, Timeout: peerTimeout.Duration()}
	f.platform = watcher.NewClient(s.ConfigurationService, s.VMList, transport)

	return f
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// Snapshot returns the configuration in force, nil before the first.
func (f *Follower) Snapshot() *configurator.Snapshot {
	return f.snapshot.Load()
}

// Ready tells whether the process has heard enough to act on its view; it notices a long pause by itself.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.acceptor.Starter.Ready(f.Clock.Now(), f.peerCount()) && f.acceptor.Current() != nil
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

// View is what a process knows; its parts belong to one configuration.
type View struct {
	Snapshot *configurator.Snapshot
	Table    *exchanger.Table
	Register *quarantiner.Register
	Groups   *placer.Groups
}

// View runs a short function on the view while nothing else changes it.
func (f *Follower) View(use func(View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(View{Snapshot: f.snapshot.Load(), Table: f.table, Register: f.register, Groups: f.groups})
}

// Leaving tells whether the VM list shows this process's VM as leaving.
func (f *Follower) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.ID == f.self.ID {
			return v.State == model.VMLeaving
		}
	}

	return false
}

// Heard reacts to a version seen on a request or an answer by asking for news at once.
func (f *Follower) Heard(version model.Version) {
	s := f.Snapshot()
	if s != nil && version <= s.Version {
		return
	}
	f.Hurry()
}

// Hurry starts the next exchange without waiting for its turn.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// Run follows the fleet until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var g conc.WaitGroup
	g.Go(func() { f.followVMs(ctx) })
	g.Go(func() { f.followPeers(ctx) })
	g.Go(func() { f.followService(ctx) })
	g.Wait()
}

func (f *Follower) accept(manifest []byte, values map[string][]byte) {
	f.mu.Lock()
	verdict, err := f.acceptor.Offer(manifest, values)
	current := f.acceptor.Current()
	if verdict == configurator.VerdictAccepted {
		f.table.Reset(current.Endpoints)
		f.groups.Reset(current)
		f.snapshot.Store(current)
	}
	f.mu.Unlock()

	f.report(verdict, err, current)
	if verdict == configurator.VerdictAccepted {
		f.OnSnapshot(current)
	}
}

func (f *Follower) report(verdict configurator.Verdict, err error, current *configurator.Snapshot) {
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
