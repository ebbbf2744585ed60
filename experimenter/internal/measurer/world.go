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
	warmUpShare   = 0.25
	directorySize = 20_000
	exchangeBytes = 420
)

// runner is a fake engine and the cores of its sidecar.
type runner struct {
	admitter *admitter.Admitter
	cache    *simplelru.LRU[model.ChatKey, struct{}]
	chats    *holder.Directory
	table    *exchanger.Table
	placer   *placer.Placer
	domain   model.DomainID
	waiting  map[admitter.Ticket]*request
	down     bool
	coldOver int
}

// router is the view of one router.
type router struct {
	table  *exchanger.Table
	placer *placer.Placer
	next   int
}

// request is one turn of a chat.
type request struct {
	chat      model.ChatKey
	account   model.AccountID
	firstTurn bool
	decode    timekeeper.Millis
	router    int
	counted   bool
	held      bool
}

type event struct {
	at   timekeeper.Millis
	do   func()
	turn uint64
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}

	return q[i].turn < q[j].turn
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]

	return e
}

// world is one run of a policy over a deployment.
type world struct {
	deployment Deployment
	policy     Policy
	random     *rand.Rand
	zipf       *rand.Zipf
	snapshot   *configurator.Snapshot
	group      *placer.Group
	runners    []*runner
	routers    []*router
	seen       map[model.ChatKey]bool
	events     eventQueue
	turn       uint64
	ticket     admitter.Ticket
	now        timekeeper.Millis
	end        timekeeper.Millis
	// deaf leaves every n-th process out of the exchange; zero leaves out none.
	deaf  int
	tally tally
}

func newWorld(d Deployment, p Policy, seed uint64) (*world, error) {
	s, err := d.snapshot(p.Bound)
	if err != nil {
		return nil, err
	}
	w := &world{
		deployment: d, policy: p, snapshot: s,
		random: rand.New(rand.NewPCG(seed, seed)),
		group:  placer.NewGroup(s, placer.GroupKey{Service: service, Model: modelName}),
		seen:   map[model.ChatKey]bool{},
		end:    timekeeper.Millis(d.Seconds) * timekeeper.Second,
	}
	w.zipf = rand.NewZipf(w.random, zipfExponent, zipfOffset, uint64(d.Chats-1))
	for range d.Routers {
		t := w.newTable()
		w.routers = append(w.routers, &router{table: t, placer: placer.NewPlacer("", t)})
	}
	for i := range d.Runners {
		r, err := w.newRunner(w.group.Members[i].Domain)
		if err != nil {
			return nil, err
		}
		for r.admitter.Limiter.IsCold() {
			r.admitter.Limiter.Observe(admitter.Sample{FirstToken: hitPrefill})
		}
		w.runners = append(w.runners, r)
	}

	return w, nil
}

func (w *world) newTable() *exchanger.Table {
	t := exchanger.NewTable()
	t.Reset(w.snapshot.Endpoints)

	return t
}

func (w *world) newRunner(domain model.DomainID) (*runner, error) {
	cache, err := simplelru.NewLRU[model.ChatKey, struct{}](w.deployment.CacheChats, nil)
	if err != nil {
		return nil, err
	}
	chats, err := holder.NewDirectory(directorySize)
	if err != nil {
		return nil, err
	}
	t := w.newTable()

	return &runner{
		admitter: admitter.NewAdmitter(admitter.NewLimiter(maxRunning, admitter.LatencyTargets{})),
		cache:    cache,
		chats:    chats,
		table:    t,
		placer:   placer.NewPlacer("", t),
		domain:   domain,
		waiting:  map[admitter.Ticket]*request{},
	}, nil
}

func (w *world) after(span timekeeper.Millis, do func()) {
	w.turn++
	heap.Push(&w.events, event{at: w.now + span, do: do, turn: w.turn})
}

func (w *world) run() {
	w.after(0, w.arrive)
	w.after(timekeeper.Second, w.second)
	for len(w.events) > 0 {
		e, ok := heap.Pop(&w.events).(event)
		if !ok || e.at > w.end {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *world) warm() bool {
	return float64(w.now) > warmUpShare*float64(w.end)
}

func (w *world) arrive() {
	gap := w.random.ExpFloat64() / w.deployment.PerSecond * float64(timekeeper.Second)
	w.after(timekeeper.Millis(math.Round(gap)), w.arrive)
	chat := model.ChatKey(w.zipf.Uint64()+1) * 0x9e3779b97f4a7c15
	if w.random.IntN(newChatShare) == 0 {
		chat = model.ChatKey(w.random.Uint64() | 1)
	}
	q := &request{
		chat: chat, firstTurn: !w.seen[chat],
		router: w.random.IntN(len(w.routers)),
		decode: timekeeper.Millis(float64(medianDecode) * math.Exp(decodeSpread*w.random.NormFloat64())),
	}
	w.seen[chat] = true
	w.place(q)
}

// place sends a request through its router by the policy under test.
func (w *world) place(q *request) {
	warm := w.warm()
	held := w.heldByLiving(q.chat)
	w.tally.requests += count(warm)
	q.counted = warm && !q.firstTurn
	q.held = held
	if _, ok := w.policy.Place(w, q); !ok {
		w.tally.givenUp += count(warm)
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}

	return 0
}

func (w *world) heldByLiving(chat model.ChatKey) bool {
	for _, r := range w.runners {
		if !r.down && r.cache.Contains(chat) {
			return true
		}
	}

	return false
}

// second exchanges the load vectors, each process with one peer, and notes the skew.
func (w *world) second() {
	w.after(timekeeper.Second, w.second)
	for i := range w.runners {
		w.runners[i].table.Observe(i, w.exact(i))
	}
	tables := make([]*exchanger.Table, 0, len(w.routers)+len(w.runners))
	for _, r := range w.routers {
		tables = append(tables, r.table)
	}
	for _, r := range w.runners {
		tables = append(tables, r.table)
	}
	for i, t := range tables {
		other := w.random.IntN(len(tables))
		if w.deaf > 0 && (i%w.deaf == 0 || other%w.deaf == 0) {
			continue
		}
		w.exchange(t, tables[other])
	}
	if w.warm() {
		w.tally.noteSkew(w.runners)
	}
}
