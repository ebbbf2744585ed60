package deduplicator

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Action tells the caller of Begin or Resolve what to do next.
type Action string

// The actions.
const (
	ActionRun    Action = "run"
	ActionReplay Action = "replay"
	ActionWait   Action = "wait"
	ActionAsk    Action = "ask"
	ActionRefuse Action = "refuse"
)

// Answer is the stored answer of a key that ran.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// Decision is what to do with one send of a key.
type Decision struct {
	Action  Action
	Ask     []model.EndpointID
	Answer  Answer
	Refusal *model.Refusal
}

// ReleaseState is what an earlier home says of a key.
type ReleaseState string

// The states that an earlier home answers with.
const (
	ReleaseNotRun  ReleaseState = "not-run"
	ReleaseRunning ReleaseState = "running"
	ReleaseRan     ReleaseState = "ran"
	ReleaseUnknown ReleaseState = "unknown"
)

// Release is the answer of an earlier home, or ReleaseUnknown when it could not be reached.
type Release struct {
	State     ReleaseState
	Answer    Answer
	Body      model.Digest
	Reachable bool
}

// Policy bounds what is trusted and kept for one service.
type Policy struct {
	Skew         timekeeper.Millis
	ResendWindow timekeeper.Millis
	Retention    timekeeper.Millis
}

// Defaults of a policy and bounds of the table.
const (
	DefaultSkew         = 5 * timekeeper.Second
	DefaultResendWindow = 15 * timekeeper.Minute
	DefaultRetention    = 24 * timekeeper.Hour
	DefaultMaxRecords   = 50_000
	DefaultMaxBytes     = 64 << 20
	MaxAnswerBytes      = 64 << 10

	retryUnknown  = 2 * timekeeper.Second
	retryProgress = timekeeper.Second
)

// NewPolicy returns the policy of a service with defaults filled in.
func NewPolicy(s model.Service) Policy {
	p := Policy{Skew: s.ClockSkew, ResendWindow: s.ResendWindow, Retention: s.KeyRetention}
	if p.Skew == 0 {
		p.Skew = DefaultSkew
	}
	if p.ResendWindow == 0 {
		p.ResendWindow = DefaultResendWindow
	}
	if p.Retention == 0 {
		p.Retention = max(DefaultRetention, p.ResendWindow)
	}

	return p
}

type state uint8

const (
	stateAsking state = iota
	stateRunning
	stateDone
	stateUnknown
	stateReleased
)

type record struct {
	state      state
	body       model.Digest
	answer     Answer
	created    timekeeper.Millis
	timed      bool
	touched    timekeeper.Millis
	releasedTo uint64
	retention  timekeeper.Millis
	skew       timekeeper.Millis
}

// Deduplicator holds the records of one incarnation of one endpoint's sidecar.
type Deduplicator struct {
	self       model.EndpointID
	clock      timekeeper.Clock
	started    timekeeper.Millis
	floor      timekeeper.Millis
	records    map[Key]*record
	bytes      int
	maxRecords int
	maxBytes   int
	stopsSeen  map[stop]timekeeper.Millis
}

// NewDeduplicator returns an empty table of a new incarnation.
func NewDeduplicator(self model.EndpointID, clock timekeeper.Clock) *Deduplicator {
	return &Deduplicator{
		self:       self,
		clock:      clock,
		started:    clock.Now(),
		floor:      clock.Wall(),
		records:    map[Key]*record{},
		maxRecords: DefaultMaxRecords,
		maxBytes:   DefaultMaxBytes,
		stopsSeen:  map[stop]timekeeper.Millis{},
	}
}

// Records returns how many keys are held.
func (d *Deduplicator) Records() int {
	return len(d.records)
}

// Observe notes when this incarnation first learnt that an earlier home is declared stopped.
func (d *Deduplicator) Observe(homes []model.HomeGeneration) {
	seen := d.clock.Now()
	for _, g := range homes {
		for _, e := range g.Stopped {
			s := stop{generation: g.Number, endpoint: e}
			if _, ok := d.stopsSeen[s]; !ok {
				d.stopsSeen[s] = seen
			}
		}
	}
}

// Begin decides what to do with one send of a key under the homes in force.
func (d *Deduplicator) Begin(k Key, body model.Digest, homes []model.HomeGeneration, p Policy) Decision {
	d.raiseFloor()
	newest, ok := Newest(homes)
	if !ok || Home(newest, k) != d.self {
		return refuse(model.CodeNotHome, "another endpoint is the home of this key", model.OutcomeUnknown, 0)
	}
	r, held := d.records[k]
	comesBack := held && r.state == stateReleased && newest.Number > r.releasedTo
	if held && !comesBack {
		return d.repeat(r, body)
	}
	d.Observe(homes)
	earlier := findPredecessors(homes, k, d.self)
	if !d.provable(k, p, earlier.stopped) {
		return refuse(model.CodeKeyUnprovable, "this endpoint cannot prove that the key has not run before; "+
			"check the work itself, then use a new UUIDv7 key", model.OutcomeUnknown, 0)
	}
	if d.full() {
		return d.refuseFull(earlier)
	}
	d.insert(k, body, p)
	if len(earlier.ask) > 0 {
		return Decision{Action: ActionAsk, Ask: earlier.ask}
	}
	d.records[k].state = stateRunning

	return Decision{Action: ActionRun}
}

func (d *Deduplicator) refuseFull(earlier predecessors) Decision {
	outcome := model.OutcomeNotRun
	if len(earlier.ask) > 0 {
		outcome = model.OutcomeUnknown
	}

	return refuse(model.CodeKeyTableFull, "too many keys are held", outcome, retryUnknown)
}

func (d *Deduplicator) repeat(r *record, body model.Digest) Decision {
	if r.state == stateReleased {
		return refuse(model.CodeNotHome, "the key was handed to its new home", model.OutcomeUnknown, retryProgress)
	}
	if r.body != body {
		outcome := model.OutcomeUnknown
		if r.state == stateDone {
			outcome = model.OutcomeRan
		}

		return refuse(model.CodeKeyConflict, "the key was used with another body", outcome, 0)
	}
	r.touched = d.clock.Now()
	switch r.state {
	case stateDone:
		return replay(r.answer)
	case stateUnknown:
		return refuse(model.CodeEndpointFailed, "an earlier send may have run", model.OutcomeUnknown, 0)
	default:
		return Decision{Action: ActionWait}
	}
}

func replay(a Answer) Decision {
	if a.Truncated {
		return refuse(model.CodeIncomplete, "the key ran; its answer was too large to keep", model.OutcomeRan, 0)
	}

	return Decision{Action: ActionReplay, Answer: a}
}

func refuse(code model.Code, detail string, o model.Outcome, retry timekeeper.Millis) Decision {
	r := model.NewRefusal(code, detail).WithOutcome(o).WithRetryAfter(retry)
	r.Final = code != model.CodeNotHome

	return Decision{Action: ActionRefuse, Refusal: r}
}

// Resolve goes on with a key once its earlier homes have answered.
func (d *Deduplicator) Resolve(k Key, releases []Release) Decision {
	r, ok := d.records[k]
	if !ok || r.state != stateAsking {
		return refuse(model.CodeKeyUnprovable, "the key is not being asked for", model.OutcomeUnknown, retryUnknown)
	}
	for _, e := range releases {
		switch e.State {
		case ReleaseNotRun:
			continue
		case ReleaseRan:
			return d.adopt(k, r, e)
		case ReleaseRunning:
			d.remove(k)

			return refuse(model.CodeKeyInProgress, "an earlier home is running the key",
				model.OutcomeUnknown, retryProgress)
		default:
			return d.resolveUnknown(k, r, e)
		}
	}
	r.state = stateRunning

	return Decision{Action: ActionRun}
}

func (d *Deduplicator) adopt(k Key, r *record, e Release) Decision {
	if e.Body != r.body {
		d.remove(k)

		return refuse(model.CodeKeyConflict, "the key was used with another body", model.OutcomeRan, 0)
	}
	d.store(r, e.Answer)

	return replay(e.Answer)
}

func (d *Deduplicator) resolveUnknown(k Key, r *record, e Release) Decision {
	if !e.Reachable {
		d.remove(k)

		return refuse(model.CodePredecessorUnknown, "an earlier home of the key cannot be reached",
			model.OutcomeUnknown, retryUnknown)
	}
	r.state = stateUnknown

	return refuse(model.CodeKeyUnprovable, "an earlier home cannot tell whether the key ran", model.OutcomeUnknown, 0)
}

// Release bars a key from running here for a newer generation and tells what is known of it.
func (d *Deduplicator) Release(k Key, generation uint64, p Policy) Release {
	d.raiseFloor()
	r, ok := d.records[k]
	if !ok {
		if !d.provable(k, p, nil) || d.full() {
			return Release{State: ReleaseUnknown, Reachable: true}
		}
		d.insert(k, 0, p)
		d.records[k].state = stateReleased
		d.records[k].releasedTo = generation

		return Release{State: ReleaseNotRun, Reachable: true}
	}
	switch r.state {
	case stateReleased:
		r.releasedTo = max(r.releasedTo, generation)

		return Release{State: ReleaseNotRun, Reachable: true}
	case stateDone:
		return Release{State: ReleaseRan, Answer: r.answer, Body: r.body, Reachable: true}
	case stateUnknown:
		return Release{State: ReleaseUnknown, Reachable: true}
	default:
		return Release{State: ReleaseRunning, Reachable: true}
	}
}

// FinishRan stores the answer of a key that ran.
func (d *Deduplicator) FinishRan(k Key, a Answer) {
	if r, ok := d.records[k]; ok && r.state == stateRunning {
		d.store(r, a)
	}
}

// FinishUnknown notes that a key may have run; it never runs again here.
func (d *Deduplicator) FinishUnknown(k Key) {
	if r, ok := d.records[k]; ok && r.state == stateRunning {
		r.state = stateUnknown
	}
}

// FinishNotRun forgets a key whose work provably never reached the endpoint.
func (d *Deduplicator) FinishNotRun(k Key) {
	if r, ok := d.records[k]; ok && r.state == stateRunning {
		d.remove(k)
	}
}

func (d *Deduplicator) store(r *record, a Answer) {
	r.state = stateDone
	if len(a.Body) > MaxAnswerBytes || d.bytes+len(a.Body) > d.maxBytes {
		a.Body = nil
		a.Truncated = true
	}
	d.bytes += len(a.Body)
	r.answer = a
}
