package deduplicator

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Action is what the caller of Begin or Resolve must do next.
type Action string

// Actions of a Decision.
const (
	// ActionRun means run the request, then call FinishRan, FinishUnknown or FinishNotRun.
	ActionRun Action = "run"
	// ActionReplay means return the stored response.
	ActionReplay Action = "replay"
	// ActionWait means wait until the request in progress has ended, then call Begin again.
	ActionWait Action = "wait"
	// ActionRequestRelease means ask all of EarlierHomes to release the key, then call Resolve.
	ActionRequestRelease Action = "ask"
	// ActionRefuse means return the refusal.
	ActionRefuse Action = "refuse"
)

// StoredResponse is the response to the request of a key that ran, kept for later requests with the key. If IsTruncated, the
// body was too large to store. The protocol calls it StoredAnswer.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
	IsTruncated bool
}

// Decision is what to do with one request of a key. EarlierHomes is set for ActionRequestRelease, Response for ActionReplay
// and Refusal for ActionRefuse.
type Decision struct {
	Action       Action
	EarlierHomes []model.EndpointID
	Response     StoredResponse
	Refusal      *model.Refusal
}

// ReleaseState is the state of a key at an earlier home.
type ReleaseState string

// States of a key at an earlier home.
const (
	// ReleaseNotRun means that the key has not run there and will not run there for the generations up to the asking one.
	ReleaseNotRun ReleaseState = "not-run"
	// ReleaseRunning means that the key is being run, or is itself waiting for a release.
	ReleaseRunning ReleaseState = "running"
	// ReleaseRan means that the key ran and its response is known.
	ReleaseRan ReleaseState = "ran"
	// ReleaseUnknown means that the key may have run, or that the home cannot tell.
	ReleaseUnknown ReleaseState = "unknown"
)

// ReleaseResult is the response of an earlier home to a release request. If the home did not answer, State is ReleaseUnknown
// and IsReachable is false.
type ReleaseResult struct {
	State       ReleaseState
	Response    StoredResponse
	BodyDigest  model.Digest
	IsReachable bool
}

// Policy holds the limits of one service: the maximum difference between two clocks, the time within which a caller may
// resend a key, and how long records are kept.
type Policy struct {
	ClockSkew    timekeeper.Millis
	ResendWindow timekeeper.Millis
	Retention    timekeeper.Millis
}

// Defaults of Policy, and limits of a Deduplicator in records and bytes.
const (
	DefaultClockSkew    = 5 * timekeeper.Second
	DefaultResendWindow = 15 * timekeeper.Minute
	DefaultRetention    = 24 * timekeeper.Hour
	DefaultMaxRecords   = 50_000
	// DefaultMaxTotalResponseBytes is the maximum total size of the stored responses' bodies.
	DefaultMaxTotalResponseBytes = 64 << 20
	// MaxResponseBytes is the maximum size of a stored response's body.
	MaxResponseBytes = 64 << 10

	retryAfterUnknown    = 2 * timekeeper.Second
	retryAfterInProgress = timekeeper.Second
)

// NewPolicy returns the policy of a service, with defaults for the values that it does not declare.
func NewPolicy(s model.Service) Policy {
	p := Policy{ClockSkew: s.ClockSkew, ResendWindow: s.ResendWindow, Retention: s.KeyRetention}
	if p.ClockSkew == 0 {
		p.ClockSkew = DefaultClockSkew
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
	stateAwaitingRelease state = iota
	stateRunning
	stateDone
	stateUnknown
	// stateReleased marks a key that this endpoint must not run because a newer home asked for it.
	stateReleased
)

type record struct {
	state           state
	bodyDigest      model.Digest
	response        StoredResponse
	created         timekeeper.Millis
	hasCreationTime bool
	lastUsed        timekeeper.Millis
	// releasedTo is the highest generation whose home asked for the key.
	releasedTo uint64
	retention  timekeeper.Millis
	clockSkew  timekeeper.Millis
}

// Deduplicator holds the key records of one endpoint, in memory, from one start of its sidecar to the next. It is not safe
// for concurrent use.
type Deduplicator struct {
	self    model.EndpointID
	clock   timekeeper.Clock
	started timekeeper.Millis
	// createdFloor is the wall-clock time above which a key must have been created to be provably new. It is the start time
	// of this sidecar or, if later, the creation time of the newest evicted key.
	createdFloor          timekeeper.Millis
	records               map[Key]*record
	totalResponseBytes    int
	maxRecords            int
	maxTotalResponseBytes int
	// stopObservedAt holds when this sidecar first saw each home declared as stopped, by the monotonic clock.
	stopObservedAt map[stoppedHome]timekeeper.Millis
}

// NewDeduplicator returns an empty deduplicator for the endpoint self, whose sidecar starts now.
func NewDeduplicator(self model.EndpointID, clock timekeeper.Clock) *Deduplicator {
	return &Deduplicator{
		self:                  self,
		clock:                 clock,
		started:               clock.Now(),
		createdFloor:          clock.Wall(),
		records:               map[Key]*record{},
		maxRecords:            DefaultMaxRecords,
		maxTotalResponseBytes: DefaultMaxTotalResponseBytes,
		stopObservedAt:        map[stoppedHome]timekeeper.Millis{},
	}
}

// RecordCount returns the number of keys with a record.
func (d *Deduplicator) RecordCount() int {
	return len(d.records)
}

// RecordStoppedHomes records the current time for each home that is declared as stopped and was not recorded before.
func (d *Deduplicator) RecordStoppedHomes(homes []model.HomeGeneration) {
	now := d.clock.Now()
	for _, g := range homes {
		for _, e := range g.StoppedEndpoints {
			s := stoppedHome{generation: g.Number, endpoint: e}
			if _, ok := d.stopObservedAt[s]; !ok {
				d.stopObservedAt[s] = now
			}
		}
	}
}

// Begin decides what to do with a request of a key, given the digest of its body and the home generations in force.
func (d *Deduplicator) Begin(k Key, body model.Digest, homes []model.HomeGeneration, p Policy) Decision {
	d.raiseCreatedFloor()
	newest, ok := NewestGeneration(homes)
	if !ok || HomeEndpoint(newest, k) != d.self {
		return refuse(model.CodeNotHome, "another endpoint is the home of this key", model.OutcomeUnknown, 0)
	}
	r, held := d.records[k]
	isHomeAgain := held && r.state == stateReleased && newest.Number > r.releasedTo
	if held && !isHomeAgain {
		return d.decideDuplicate(r, body)
	}
	d.RecordStoppedHomes(homes)
	earlier := findEarlierHomes(homes, k, d.self)
	if !d.isProvablyNew(k, p, earlier.stopped) {
		return refuse(model.CodeKeyStateUnknown, "this endpoint cannot prove that the key has not run before; "+
			"check the work itself, then use a new UUIDv7 key", model.OutcomeUnknown, 0)
	}
	if d.isFullAfterEviction() {
		return d.refuseFull(earlier)
	}
	d.insert(k, body, p)
	if len(earlier.toAsk) > 0 {
		return Decision{Action: ActionRequestRelease, EarlierHomes: earlier.toAsk}
	}
	d.records[k].state = stateRunning

	return Decision{Action: ActionRun}
}

func (d *Deduplicator) refuseFull(earlier earlierHomes) Decision {
	outcome := model.OutcomeNotRun
	if len(earlier.toAsk) > 0 {
		outcome = model.OutcomeUnknown
	}

	return refuse(model.CodeKeyTableFull, "too many keys are held", outcome, retryAfterUnknown)
}

func (d *Deduplicator) decideDuplicate(r *record, body model.Digest) Decision {
	if r.state == stateReleased {
		return refuse(model.CodeNotHome, "the key was handed to its new home", model.OutcomeUnknown, retryAfterInProgress)
	}
	if r.bodyDigest != body {
		outcome := model.OutcomeUnknown
		if r.state == stateDone {
			outcome = model.OutcomeRan
		}

		return refuse(model.CodeKeyConflict, "the key was used with another body", outcome, 0)
	}
	r.lastUsed = d.clock.Now()
	switch r.state {
	case stateDone:
		return replay(r.response)
	case stateUnknown:
		return refuse(model.CodeEndpointFailed, "an earlier send may have run", model.OutcomeUnknown, 0)
	default:
		return Decision{Action: ActionWait}
	}
}

func replay(response StoredResponse) Decision {
	if response.IsTruncated {
		return refuse(model.CodeIncompleteResponse, "the key ran; its answer was too large to keep", model.OutcomeRan, 0)
	}

	return Decision{Action: ActionReplay, Response: response}
}

func refuse(code model.Code, detail string, outcome model.Outcome, retryAfter timekeeper.Millis) Decision {
	r := model.NewRefusal(code, detail).WithOutcome(outcome).WithRetryAfter(retryAfter)
	r.IsFinal = code != model.CodeNotHome

	return Decision{Action: ActionRefuse, Refusal: r}
}

// Resolve decides what to do with a key after its earlier homes have answered the release requests.
func (d *Deduplicator) Resolve(k Key, releases []ReleaseResult) Decision {
	r, ok := d.records[k]
	if !ok || r.state != stateAwaitingRelease {
		return refuse(model.CodeKeyStateUnknown, "the key is not being asked for", model.OutcomeUnknown, retryAfterUnknown)
	}
	for _, e := range releases {
		switch e.State {
		case ReleaseNotRun:
			continue
		case ReleaseRan:
			return d.adoptResponse(k, r, e)
		case ReleaseRunning:
			d.remove(k)

			return refuse(model.CodeKeyInProgress, "an earlier home is running the key",
				model.OutcomeUnknown, retryAfterInProgress)
		default:
			return d.resolveUnknown(k, r, e)
		}
	}
	r.state = stateRunning

	return Decision{Action: ActionRun}
}

func (d *Deduplicator) adoptResponse(k Key, r *record, e ReleaseResult) Decision {
	if e.BodyDigest != r.bodyDigest {
		d.remove(k)

		return refuse(model.CodeKeyConflict, "the key was used with another body", model.OutcomeRan, 0)
	}
	d.storeResponse(r, e.Response)

	return replay(e.Response)
}

func (d *Deduplicator) resolveUnknown(k Key, r *record, e ReleaseResult) Decision {
	if !e.IsReachable {
		d.remove(k)

		return refuse(model.CodePreviousHomeUnreachable, "an earlier home of the key cannot be reached",
			model.OutcomeUnknown, retryAfterUnknown)
	}
	r.state = stateUnknown

	return refuse(model.CodeKeyStateUnknown, "an earlier home cannot tell whether the key ran", model.OutcomeUnknown, 0)
}

// Release answers the release request of the home of a newer generation. If the key has not run, this endpoint will not run
// it unless a generation newer than the given one makes it the home again.
func (d *Deduplicator) Release(k Key, generation uint64, p Policy) ReleaseResult {
	d.raiseCreatedFloor()
	r, ok := d.records[k]
	if !ok {
		if !d.isProvablyNew(k, p, nil) || d.isFullAfterEviction() {
			return ReleaseResult{State: ReleaseUnknown, IsReachable: true}
		}
		d.insert(k, 0, p)
		d.records[k].state = stateReleased
		d.records[k].releasedTo = generation

		return ReleaseResult{State: ReleaseNotRun, IsReachable: true}
	}
	switch r.state {
	case stateReleased:
		r.releasedTo = max(r.releasedTo, generation)

		return ReleaseResult{State: ReleaseNotRun, IsReachable: true}
	case stateDone:
		return ReleaseResult{State: ReleaseRan, Response: r.response, BodyDigest: r.bodyDigest, IsReachable: true}
	case stateUnknown:
		return ReleaseResult{State: ReleaseUnknown, IsReachable: true}
	default:
		return ReleaseResult{State: ReleaseRunning, IsReachable: true}
	}
}

// FinishRan stores the response of a key that ran. Bodies over the size limits are dropped and IsTruncated is set.
func (d *Deduplicator) FinishRan(k Key, response StoredResponse) {
	if r, ok := d.records[k]; ok && r.state == stateRunning {
		d.storeResponse(r, response)
	}
}

// FinishUnknown records that a key may have run, so that this endpoint does not run it again.
func (d *Deduplicator) FinishUnknown(k Key) {
	if r, ok := d.records[k]; ok && r.state == stateRunning {
		r.state = stateUnknown
	}
}

// FinishNotRun removes the record of a key whose request provably never reached the endpoint, so that it may run later.
func (d *Deduplicator) FinishNotRun(k Key) {
	if r, ok := d.records[k]; ok && r.state == stateRunning {
		d.remove(k)
	}
}

func (d *Deduplicator) storeResponse(r *record, response StoredResponse) {
	r.state = stateDone
	if len(response.Body) > MaxResponseBytes || d.totalResponseBytes+len(response.Body) > d.maxTotalResponseBytes {
		response.Body = nil
		response.IsTruncated = true
	}
	d.totalResponseBytes += len(response.Body)
	r.response = response
}
