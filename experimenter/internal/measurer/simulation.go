package measurer

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/holder"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// warmUpFraction is the part of a run before results are counted.
	warmUpFraction      = 0.25
	holderDirectorySize = 20_000
	// exchangeOverheadBytes is the size of a load exchange without the two load vectors.
	exchangeOverheadBytes = 420
)

// endpoint is a simulated engine and the state of its sidecar.
type endpoint struct {
	admitter            *admitter.Admitter
	prefixCache         *simplelru.LRU[model.ChatKey, struct{}]
	holders             *holder.Directory
	loads               *exchanger.Table
	placer              *placer.Placer
	domain              model.DomainID
	queuedRequests      map[admitter.Ticket]*request
	isDown              bool
	coldLimitViolations int
}

// router is the state of a simulated router.
type router struct {
	loads           *exchanger.Table
	placer          *placer.Placer
	roundRobinIndex int
}

// request is one turn of a chat. isCounted is true for later turns after the warm-up; isHeld is true if the cache of an
// available endpoint held the prefix when the request arrived.
type request struct {
	chat        model.ChatKey
	account     model.AccountID
	isFirstTurn bool
	decodeTime  timekeeper.Millis
	router      int
	isCounted   bool
	isHeld      bool
}

// event is a scheduled action. The sequence number orders events that are due at the same time.
type event struct {
	dueAt    timekeeper.Millis
	run      func()
	sequence uint64
}

// eventQueue is a heap of events, the next one first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].dueAt != q[j].dueAt {
		return q[i].dueAt < q[j].dueAt
	}

	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; call heap.Push instead.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop removes the last event of the slice; call heap.Pop instead.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]

	return e
}

// simulation is the state of one run of a policy on a deployment. A member is an index into both endpoints and
// group.Members.
type simulation struct {
	deployment   Deployment
	policy       Policy
	random       *rand.Rand
	zipf         *rand.Zipf
	snapshot     *configurator.Snapshot
	group        *placer.Group
	endpoints    []*endpoint
	routers      []*router
	seenChats    map[model.ChatKey]bool
	events       eventQueue
	lastSequence uint64
	lastTicket   admitter.Ticket
	now          timekeeper.Millis
	endsAt       timekeeper.Millis
	// Every isolationInterval-th process takes part in no load exchange; zero isolates none.
	isolationInterval int
	stats             simulationStats
}

// newSimulation returns a simulation in which all endpoints are warm and all caches empty.
func newSimulation(d Deployment, p Policy, seed uint64) (*simulation, error) {
	snapshot, err := d.newSnapshot(p.AdmissionBound)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		deployment: d, policy: p, snapshot: snapshot,
		random:    rand.New(rand.NewPCG(seed, seed)),
		group:     placer.NewGroup(snapshot, placer.GroupKey{Service: serviceID, Model: modelID}),
		seenChats: map[model.ChatKey]bool{},
		endsAt:    timekeeper.Millis(d.DurationSeconds) * timekeeper.Second,
	}
	s.zipf = rand.NewZipf(s.random, zipfExponent, zipfOffset, uint64(d.Chats-1))
	for range d.Routers {
		loads := s.newLoadTable()
		s.routers = append(s.routers, &router{loads: loads, placer: placer.NewPlacer("", loads)})
	}
	for i := range d.Endpoints {
		e, err := s.newEndpoint(s.group.Members[i].Domain)
		if err != nil {
			return nil, err
		}
		for e.admitter.Limiter.IsCold() {
			e.admitter.Limiter.Observe(admitter.Sample{FirstToken: hitPrefillTime})
		}
		s.endpoints = append(s.endpoints, e)
	}

	return s, nil
}

func (s *simulation) newLoadTable() *exchanger.Table {
	t := exchanger.NewTable()
	t.Reset(s.snapshot.Endpoints)

	return t
}

func (s *simulation) newEndpoint(domain model.DomainID) (*endpoint, error) {
	prefixCache, err := simplelru.NewLRU[model.ChatKey, struct{}](s.deployment.PrefixCacheChats, nil)
	if err != nil {
		return nil, err
	}
	holders, err := holder.NewDirectory(holderDirectorySize)
	if err != nil {
		return nil, err
	}
	loads := s.newLoadTable()

	return &endpoint{
		admitter:       admitter.NewAdmitter(admitter.NewLimiter(maxRunning, admitter.LatencyTargets{})),
		prefixCache:    prefixCache,
		holders:        holders,
		loads:          loads,
		placer:         placer.NewPlacer("", loads),
		domain:         domain,
		queuedRequests: map[admitter.Ticket]*request{},
	}, nil
}

func (s *simulation) schedule(delay timekeeper.Millis, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{dueAt: s.now + delay, run: run, sequence: s.lastSequence})
}

// run processes the events in order until the end of the simulated time.
func (s *simulation) run() {
	s.schedule(0, s.generateRequest)
	s.schedule(timekeeper.Second, s.tick)
	for len(s.events) > 0 {
		e, ok := heap.Pop(&s.events).(event)
		if !ok || e.dueAt > s.endsAt {
			return
		}
		s.now = e.dueAt
		e.run()
	}
}

func (s *simulation) isWarmedUp() bool {
	return float64(s.now) > warmUpFraction*float64(s.endsAt)
}

// generateRequest places a request and schedules the next one. Arrivals are a Poisson process. Multiplying the Zipf value by
// the 64-bit golden ratio spreads the keys of recurring chats over the key space.
func (s *simulation) generateRequest() {
	delay := s.random.ExpFloat64() / s.deployment.RequestsPerSecond * float64(timekeeper.Second)
	s.schedule(timekeeper.Millis(math.Round(delay)), s.generateRequest)
	chat := model.ChatKey(s.zipf.Uint64()+1) * 0x9e3779b97f4a7c15
	if s.random.IntN(requestsPerNewChat) == 0 {
		chat = model.ChatKey(s.random.Uint64() | 1)
	}
	req := &request{
		chat: chat, isFirstTurn: !s.seenChats[chat],
		router:     s.random.IntN(len(s.routers)),
		decodeTime: timekeeper.Millis(float64(medianDecodeTime) * math.Exp(decodeTimeSigma*s.random.NormFloat64())),
	}
	s.seenChats[chat] = true
	s.placeRequest(req)
}

// placeRequest places a request according to the policy.
func (s *simulation) placeRequest(req *request) {
	isWarmedUp := s.isWarmedUp()
	isHeld := s.isHeld(req.chat)
	s.stats.requests += boolToInt(isWarmedUp)
	req.isCounted = isWarmedUp && !req.isFirstTurn
	req.isHeld = isHeld
	if _, ok := s.policy.Place(s, req); !ok {
		s.stats.givenUp += boolToInt(isWarmedUp)
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}

	return 0
}

// isHeld reports whether the prefix cache of an available endpoint holds a chat.
func (s *simulation) isHeld(chat model.ChatKey) bool {
	for _, e := range s.endpoints {
		if !e.isDown && e.prefixCache.Contains(chat) {
			return true
		}
	}

	return false
}

// tick runs once per simulated second: each process exchanges loads with a random peer, and the skew is recorded.
func (s *simulation) tick() {
	s.schedule(timekeeper.Second, s.tick)
	for i := range s.endpoints {
		s.endpoints[i].loads.Observe(i, s.currentLoad(i))
	}
	tables := make([]*exchanger.Table, 0, len(s.routers)+len(s.endpoints))
	for _, r := range s.routers {
		tables = append(tables, r.loads)
	}
	for _, e := range s.endpoints {
		tables = append(tables, e.loads)
	}
	for i, t := range tables {
		peer := s.random.IntN(len(tables))
		if s.isolationInterval > 0 && (i%s.isolationInterval == 0 || peer%s.isolationInterval == 0) {
			continue
		}
		s.exchangeLoads(t, tables[peer])
	}
	if s.isWarmedUp() {
		s.stats.recordSkew(s.endpoints)
	}
}
