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

// IdempotencyVariant disables mechanisms that run a key at most once. The zero value is the product as it is.
type IdempotencyVariant struct {
	// IgnoresStartTime lets a sidecar run keys that may have run before its start.
	IgnoresStartTime bool
	// SkipsEarlierHomes runs keys without asking the homes of earlier generations.
	SkipsEarlierHomes bool
	// TreatsUnreachableAsNotRun assumes that a key has not run at an earlier home that does not answer.
	TreatsUnreachableAsNotRun bool
	// ReportsNotRunOnError reports not-run if the connection to a sidecar fails.
	ReportsNotRunOnError bool
}

const (
	idempotencySteps = 160
	sidecarCount     = 4
	maxKeyedRequests = 5
	simulationStart  = 1_000_000 * timekeeper.Second
	maxClockSkew     = 5 * timekeeper.Second
	resendWindow     = 60 * timekeeper.Second
	keyRetention     = 120 * timekeeper.Second
)

// maxClockJumps are the maximum sizes of a clock jump, one of which is chosen for each jump.
var maxClockJumps = []timekeeper.Millis{10 * timekeeper.Second, timekeeper.Minute, timekeeper.Hour}

var idempotencyPolicy = deduplicator.Policy{ClockSkew: maxClockSkew, ResendWindow: resendWindow, Retention: keyRetention}

// sidecarNode is one sidecar. Version is the index in idempotencySimulation.versions of the configuration that it holds.
type sidecarNode struct {
	id               model.EndpointID
	clock            *timekeeper.ManualClock
	clockOffset      timekeeper.Millis
	deduplicator     *deduplicator.Deduplicator
	incarnation      int
	isUp             bool
	isDecommissioned bool
	version          int
}

// keyedRequest is a caller's request with an idempotency key. Its responses hold one response for each run. The key of an
// opaque request does not contain its creation time.
type keyedRequest struct {
	key       deduplicator.Key
	createdAt timekeeper.Millis
	isOpaque  bool
	responses []string
}

// keyedAttempt is one send of a request. Its stage is the next one to run: deliver to the sidecar, ask the earlier homes,
// touch the endpoint, which runs the request, or finish. Its releases are the responses of earlierHomes so far.
type keyedAttempt struct {
	number       int
	request      *keyedRequest
	node         *sidecarNode
	incarnation  int
	sentAt       timekeeper.Millis
	stage        string
	earlierHomes []model.EndpointID
	releases     []deduplicator.ReleaseResult
	response     string
	isDone       bool
}

// idempotencySimulation simulates sidecars that run requests with idempotency keys. Its versions are the home generations of
// each published configuration.
type idempotencySimulation struct {
	choose    Chooser
	variant   IdempotencyVariant
	now       timekeeper.Millis
	nodes     []*sidecarNode
	versions  [][]model.HomeGeneration
	requests  []*keyedRequest
	attempts  []*keyedAttempt
	history   []string
	checker   historyChecker
	violation *Violation
}

// RunIdempotencySimulation checks that no key runs more than once, that no key that ran is reported as not-run, and that
// every response comes from the only run.
func RunIdempotencySimulation(c Chooser, variant IdempotencyVariant) *Violation {
	s := newIdempotencySimulation(c, variant)
	for range idempotencySteps {
		s.step()
		if s.violation != nil {
			s.violation.History = s.history

			return s.violation
		}
	}
	s.finishAttempts()
	if s.violation == nil {
		s.violation = s.checker.check()
	}
	if s.violation != nil {
		s.violation.History = s.history
	}

	return s.violation
}

func newIdempotencySimulation(c Chooser, variant IdempotencyVariant) *idempotencySimulation {
	s := &idempotencySimulation{choose: c, variant: variant, now: simulationStart}
	var ids []model.EndpointID
	for n := range sidecarCount {
		id := model.EndpointID(fmt.Sprintf("e%d", n))
		ids = append(ids, id)
		node := &sidecarNode{id: id, clock: timekeeper.NewManualClock(simulationStart)}
		s.nodes = append(s.nodes, node)
		s.startSidecar(node)
	}
	s.versions = [][]model.HomeGeneration{{{Number: 1, Endpoints: s.randomSubset(ids)}}}

	return s
}

func (s *idempotencySimulation) log(format string, arguments ...any) {
	s.history = append(s.history, fmt.Sprintf("%d ", s.now-simulationStart)+fmt.Sprintf(format, arguments...))
}

// randomSubset returns a random subset that is not empty.
func (s *idempotencySimulation) randomSubset(ids []model.EndpointID) []model.EndpointID {
	var subset []model.EndpointID
	for _, id := range ids {
		if !s.choose.oneIn(3) {
			subset = append(subset, id)
		}
	}
	if len(subset) == 0 {
		subset = append(subset, ids[s.choose(len(ids))])
	}

	return subset
}

// startSidecar starts a sidecar with a clock within the allowed skew and with any configuration published so far.
func (s *idempotencySimulation) startSidecar(n *sidecarNode) {
	offset := s.choose.duration(maxClockSkew) - maxClockSkew/2
	n.clock.StepWall(offset - n.clockOffset)
	n.clockOffset = offset
	n.incarnation++
	n.isUp = true
	n.deduplicator = deduplicator.NewDeduplicator(n.id, s.sidecarClock(n))
	n.version = 0
	if len(s.versions) > 0 {
		n.version = s.choose(len(s.versions))
	}
}

// sidecarClock returns the clock of a sidecar. With IgnoresStartTime, it returns zero to the two reads with which the
// deduplicator records its start.
func (s *idempotencySimulation) sidecarClock(n *sidecarNode) timekeeper.Clock {
	clock := n.clock.Clock()
	if !s.variant.IgnoresStartTime {
		return clock
	}
	reads := 0
	zeroAtStart := func(read func() timekeeper.Millis) func() timekeeper.Millis {
		return func() timekeeper.Millis {
			reads++
			if reads <= 2 {
				return 0
			}

			return read()
		}
	}

	return timekeeper.Clock{Now: zeroAtStart(clock.Now), Wall: zeroAtStart(clock.Wall), Suspended: clock.Suspended}
}

func (s *idempotencySimulation) step() {
	switch s.choose(16) {
	case 0, 1:
		s.advanceClocks(s.choose.duration(10 * timekeeper.Second))
	case 2:
		s.createRequest()
	case 3, 4, 5:
		s.sendRequest()
	case 6:
		s.injectFault()
	case 7:
		s.learnConfiguration()
	default:
		s.advanceAttempt()
	}
}

func (s *idempotencySimulation) advanceClocks(elapsed timekeeper.Millis) {
	s.now += elapsed
	for _, n := range s.nodes {
		n.clock.Advance(elapsed)
	}
}

func (s *idempotencySimulation) createRequest() {
	if len(s.requests) >= maxKeyedRequests {
		return
	}
	request := &keyedRequest{createdAt: s.now, isOpaque: s.choose.oneIn(4)}
	timestamp := s.now + s.choose.duration(maxClockSkew) - maxClockSkew/2
	key := uuidCreatedAt(timestamp, len(s.requests))
	if request.isOpaque {
		key = fmt.Sprintf("opaque-%d", len(s.requests))
	}
	request.key = deduplicator.Key{Account: "a", Service: "s", Key: model.IdempotencyKey(key)}
	s.requests = append(s.requests, request)
}

// uuidCreatedAt returns a UUIDv7 with a creation time; n makes it unique.
func uuidCreatedAt(createdAt timekeeper.Millis, n int) string {
	var u uuid.UUID
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(createdAt))
	copy(u[:6], encoded[2:])
	u[6] = 0x70
	u[8] = 0x80
	u[15] = byte(n)

	return u.String()
}

// sendRequest sends a request through a router with any configuration published so far.
func (s *idempotencySimulation) sendRequest() {
	if len(s.requests) == 0 {
		return
	}
	request := s.requests[s.choose(len(s.requests))]
	if request.isOpaque && s.now-request.createdAt > resendWindow/2 {
		return
	}
	generations := s.versions[s.choose(len(s.versions))]
	newest, _ := deduplicator.NewestGeneration(generations)
	a := &keyedAttempt{
		number:  len(s.attempts),
		request: request,
		node:    s.node(deduplicator.HomeEndpoint(newest, request.key)),
		sentAt:  s.now,
		stage:   "deliver",
	}
	s.attempts = append(s.attempts, a)
	s.log("send %d of %s to %s", a.number, request.key.Key, a.node.id)
}

func (s *idempotencySimulation) node(id model.EndpointID) *sidecarNode {
	i := slices.IndexFunc(s.nodes, func(n *sidecarNode) bool { return n.id == id })

	return s.nodes[i]
}

// learnConfiguration gives a newer configuration to a sidecar.
func (s *idempotencySimulation) learnConfiguration() {
	n := s.nodes[s.choose(len(s.nodes))]
	if n.version < len(s.versions)-1 {
		n.version += 1 + s.choose(len(s.versions)-1-n.version)
		n.deduplicator.RecordStoppedHomes(s.versions[n.version])
		s.log("%s learns version %d", n.id, n.version)
	}
}

// advanceAttempt runs one stage of a random unfinished attempt, so an attempt may be delayed for any time. An attempt of an
// opaque request ends with outcome unknown once the request is older than resendWindow.
func (s *idempotencySimulation) advanceAttempt() {
	var unfinished []*keyedAttempt
	for _, a := range s.attempts {
		if !a.isDone {
			unfinished = append(unfinished, a)
		}
	}
	if len(unfinished) == 0 {
		return
	}
	a := unfinished[s.choose(len(unfinished))]
	if a.request.isOpaque && s.now-a.request.createdAt > resendWindow {
		s.respond(a, model.OutcomeUnknown, "")

		return
	}
	s.runStage(a)
}

// finishAttempts ends all unfinished attempts with outcome unknown.
func (s *idempotencySimulation) finishAttempts() {
	for _, a := range s.attempts {
		if !a.isDone {
			s.respond(a, model.OutcomeUnknown, "")
		}
	}
}
