package prover

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// KeyVariant weakens the at-most-once mechanism, to show that the schedules find what it is for.
type KeyVariant struct {
	ForgetsIncarnation  bool
	SkipsEarlierHomes   bool
	TrustsUnreachable   bool
	ClaimsNotRunOnError bool
}

const (
	keySteps    = 160
	keyNodes    = 4
	keyCallers  = 5
	worldStart  = 1_000_000 * timekeeper.Second
	worldSkew   = 5 * timekeeper.Second
	worldWindow = 60 * timekeeper.Second
	worldKeep   = 120 * timekeeper.Second
)

var worldJumps = []timekeeper.Millis{10 * timekeeper.Second, timekeeper.Minute, timekeeper.Hour}

var keyPolicy = deduplicator.Policy{ClockSkew: worldSkew, ResendWindow: worldWindow, Retention: worldKeep}

// keyNode is one sidecar and what it knows.
type keyNode struct {
	id          model.EndpointID
	clock       *timekeeper.ManualClock
	jump        timekeeper.Millis
	table       *deduplicator.Deduplicator
	incarnation int
	up          bool
	stopped     bool
	version     int
}

// keyTask is one key of a caller, with every send of it.
type keyTask struct {
	key     deduplicator.Key
	created timekeeper.Millis
	opaque  bool
	runs    []string
}

// keyAttempt is one send on its way.
type keyAttempt struct {
	number      int
	task        *keyTask
	node        *keyNode
	incarnation int
	called      timekeeper.Millis
	stage       string
	asked       []model.EndpointID
	releases    []deduplicator.ReleaseResult
	answer      string
	done        bool
}

type keyWorld struct {
	choose   Chooser
	variant  KeyVariant
	now      timekeeper.Millis
	nodes    []*keyNode
	versions [][]model.HomeGeneration
	tasks    []*keyTask
	attempts []*keyAttempt
	history  []string
	checker  keyChecker
	failed   *Violation
}

// RunKeySchedule tries to run a key twice, or to call a key that ran not-run.
func RunKeySchedule(c Chooser, variant KeyVariant) *Violation {
	w := newKeyWorld(c, variant)
	for range keySteps {
		w.step()
		if w.failed != nil {
			w.failed.History = w.history

			return w.failed
		}
	}
	w.finish()
	if w.failed == nil {
		w.failed = w.checker.check()
	}
	if w.failed != nil {
		w.failed.History = w.history
	}

	return w.failed
}

func newKeyWorld(c Chooser, variant KeyVariant) *keyWorld {
	w := &keyWorld{choose: c, variant: variant, now: worldStart}
	var all []model.EndpointID
	for n := range keyNodes {
		id := model.EndpointID(fmt.Sprintf("e%d", n))
		all = append(all, id)
		node := &keyNode{id: id, clock: timekeeper.NewManualClock(worldStart)}
		w.nodes = append(w.nodes, node)
		w.start(node)
	}
	w.versions = [][]model.HomeGeneration{{{Number: 1, Endpoints: w.subset(all)}}}

	return w
}

func (w *keyWorld) log(format string, arguments ...any) {
	w.history = append(w.history, fmt.Sprintf("%d ", w.now-worldStart)+fmt.Sprintf(format, arguments...))
}

func (w *keyWorld) subset(all []model.EndpointID) []model.EndpointID {
	var some []model.EndpointID
	for _, id := range all {
		if !w.choose.chance(3) {
			some = append(some, id)
		}
	}
	if len(some) == 0 {
		some = append(some, all[w.choose(len(all))])
	}

	return some
}

// start begins a new incarnation whose clock is within the allowed skew, on any configuration ever published.
func (w *keyWorld) start(n *keyNode) {
	skew := w.choose.span(worldSkew) - worldSkew/2
	n.clock.StepWall(skew - n.jump)
	n.jump = skew
	n.incarnation++
	n.up = true
	n.table = deduplicator.NewDeduplicator(n.id, w.clockOf(n))
	n.version = 0
	if len(w.versions) > 0 {
		n.version = w.choose(len(w.versions))
	}
}

func (w *keyWorld) clockOf(n *keyNode) timekeeper.Clock {
	clock := n.clock.Clock()
	if !w.variant.ForgetsIncarnation {
		return clock
	}
	reads := 0
	zero := func(read func() timekeeper.Millis) func() timekeeper.Millis {
		return func() timekeeper.Millis {
			reads++
			if reads <= 2 {
				return 0
			}

			return read()
		}
	}

	return timekeeper.Clock{Now: zero(clock.Now), Wall: zero(clock.Wall)}
}

func (w *keyWorld) step() {
	switch w.choose(16) {
	case 0, 1:
		w.advance(w.choose.span(10 * timekeeper.Second))
	case 2:
		w.newTask()
	case 3, 4, 5:
		w.send()
	case 6:
		w.fault()
	case 7:
		w.learn()
	default:
		w.progress()
	}
}

func (w *keyWorld) advance(span timekeeper.Millis) {
	w.now += span
	for _, n := range w.nodes {
		n.clock.Advance(span)
	}
}

func (w *keyWorld) newTask() {
	if len(w.tasks) >= keyCallers {
		return
	}
	t := &keyTask{created: w.now, opaque: w.choose.chance(4)}
	stamp := w.now + w.choose.span(worldSkew) - worldSkew/2
	key := uuidAt(stamp, len(w.tasks))
	if t.opaque {
		key = fmt.Sprintf("opaque-%d", len(w.tasks))
	}
	t.key = deduplicator.Key{Account: "a", Service: "s", Key: model.IdempotencyKey(key)}
	w.tasks = append(w.tasks, t)
}

func uuidAt(stamp timekeeper.Millis, n int) string {
	var u uuid.UUID
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(stamp))
	copy(u[:6], raw[2:])
	u[6] = 0x70
	u[8] = 0x80
	u[15] = byte(n)

	return u.String()
}

// send sends a key through a router that holds any configuration ever published.
func (w *keyWorld) send() {
	if len(w.tasks) == 0 {
		return
	}
	t := w.tasks[w.choose(len(w.tasks))]
	if t.opaque && w.now-t.created > worldWindow/2 {
		return
	}
	homes := w.versions[w.choose(len(w.versions))]
	newest, _ := deduplicator.NewestGeneration(homes)
	a := &keyAttempt{
		number: len(w.attempts),
		task:   t,
		node:   w.node(deduplicator.HomeEndpoint(newest, t.key)),
		called: w.now,
		stage:  "deliver",
	}
	w.attempts = append(w.attempts, a)
	w.log("send %d of %s to %s", a.number, t.key.Key, a.node.id)
}

func (w *keyWorld) node(id model.EndpointID) *keyNode {
	i := slices.IndexFunc(w.nodes, func(n *keyNode) bool { return n.id == id })

	return w.nodes[i]
}

func (w *keyWorld) learn() {
	n := w.nodes[w.choose(len(w.nodes))]
	if n.version < len(w.versions)-1 {
		n.version += 1 + w.choose(len(w.versions)-1-n.version)
		n.table.RecordStoppedHomes(w.versions[n.version])
		w.log("%s learns version %d", n.id, n.version)
	}
}

// progress moves one attempt on by one stage; an attempt may be left alone for as long as the schedule likes.
func (w *keyWorld) progress() {
	var open []*keyAttempt
	for _, a := range w.attempts {
		if !a.done {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return
	}
	a := open[w.choose(len(open))]
	if a.task.opaque && w.now-a.task.created > worldWindow {
		w.respond(a, model.OutcomeUnknown, "")

		return
	}
	w.move(a)
}

func (w *keyWorld) finish() {
	for _, a := range w.attempts {
		if !a.done {
			w.respond(a, model.OutcomeUnknown, "")
		}
	}
}
