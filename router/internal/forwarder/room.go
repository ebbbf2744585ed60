package forwarder

import (
	"sync"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/throttler"
	"cardamompulley/fleet/timekeeper"
)

// shortageLogInterval is the least time between two log lines that a service has run out of room.
const shortageLogInterval = 10 * timekeeper.Second

// grant is the end of a wait for room: room from startedAt on, or the time after which the caller may expect some.
type grant struct {
	startedAt  timekeeper.Millis
	isRefused  bool
	retryAfter timekeeper.Millis
}

// RoomState is the room of a service at this gateway, for the metrics page. Limit is zero while there is no shortage.
type RoomState struct {
	Service           model.ServiceID
	Limit             float64
	UnderWay, Waiting int
	Waited, Refused   int
	WaitedTime        timekeeper.Millis
}

// room holds the requests to one plain service that are under way or wait at this gateway.
type room struct {
	service model.ServiceID
	log     logger.Logger

	mu         sync.Mutex
	throttler  *throttler.Throttler
	waiters    map[queuer.Ticket]chan grant
	lastTicket queuer.Ticket
	// isShort is true while there is a limit. isShortLogged is true if that has been logged, at shortLoggedAt.
	isShort, isShortLogged bool
	shortLoggedAt          timekeeper.Millis
	// refusedBefore is how many had been refused at shortLoggedAt.
	refusedBefore   int
	waited, refused int
	waitedTime      timekeeper.Millis
}

func newRoom(id model.ServiceID, log logger.Logger) *room {
	return &room{service: id, log: log, throttler: throttler.NewThrottler(), waiters: map[queuer.Ticket]chan grant{}}
}

// arrive decides on a request. If it is to wait, granted gets the end of its wait.
func (r *room) arrive(request throttler.Request, c throttler.Capacity, now timekeeper.Millis) (
	d throttler.Decision, ticket queuer.Ticket, granted <-chan grant,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTicket++
	request.Ticket = r.lastTicket
	r.throttler.Observe(c, now)
	r.grantRoom(now)
	d = r.throttler.Arrive(request, now)
	switch d.Action {
	case throttler.ActionWait:
		waiter := make(chan grant, 1)
		r.waiters[request.Ticket] = waiter
		granted = waiter
	case throttler.ActionRefuse:
		r.refused++
	case throttler.ActionRun:
	}
	r.logShortage(now)

	return d, request.Ticket, granted
}

// update takes in what the gateway knows of the service and gives room to waiting requests.
func (r *room) update(c throttler.Capacity, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttler.Observe(c, now)
	r.grantRoom(now)
}

// isEmpty reports whether no request has room or waits for it.
func (r *room) isEmpty() bool {
	s := r.state()

	return s.UnderWay == 0 && s.Waiting == 0
}

// finish records that a request which had room has ended, and gives its room to others.
func (r *room) finish(o throttler.Outcome, startedAt, duration, target, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttler.Finish(o, startedAt, duration, target, now)
	r.grantRoom(now)
}

// advance gives room to waiting requests and returns when it must be called again.
func (r *room) advance(now timekeeper.Millis) (due timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grantRoom(now)

	return r.throttler.NextDue(now)
}

// grantRoom ends the waits that are over.
func (r *room) grantRoom(now timekeeper.Millis) {
	changes := r.throttler.Advance(now)
	for _, t := range changes.Started {
		r.endWait(t, grant{startedAt: now})
	}
	for _, refusal := range changes.Refused {
		r.refused++
		r.endWait(refusal.Ticket, grant{isRefused: true, retryAfter: refusal.RetryAfter})
	}
	r.logShortage(now)
}

func (r *room) endWait(t queuer.Ticket, g grant) {
	r.waiters[t] <- g
	delete(r.waiters, t)
}

// cancel ends the wait of a request that has ended. It returns false if the wait has been over before.
func (r *room) cancel(t queuer.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, isWaiting := r.waiters[t]; !isWaiting {
		return false
	}
	delete(r.waiters, t)
	r.throttler.Cancel(t)

	return true
}

// recordWait counts how long a request has waited.
func (r *room) recordWait(duration timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waited++
	r.waitedTime += duration
}

// logShortage logs that the service has run out of room, or has enough again.
func (r *room) logShortage(now timekeeper.Millis) {
	isShort := r.throttler.Limit() > 0
	if isShort == r.isShort {
		return
	}
	r.isShort = isShort
	switch {
	case isShort && (r.shortLoggedAt == 0 || now-r.shortLoggedAt >= shortageLogInterval):
		r.isShortLogged, r.shortLoggedAt, r.refusedBefore = true, now, r.refused
		r.log.Write(logger.EventServiceFull, logger.String("service", r.service),
			logger.Int("room-limit-percent", int(100*r.throttler.Limit())), logger.Int("room-under-way", r.throttler.UnderWay()))
	case !isShort && r.isShortLogged:
		r.isShortLogged = false
		r.log.Write(logger.EventServiceHasRoom, logger.String("service", r.service), logger.Int("refused", r.refused-r.refusedBefore))
	}
}

// state returns the room's state for the metrics page.
func (r *room) state() RoomState {
	r.mu.Lock()
	defer r.mu.Unlock()

	return RoomState{
		Service: r.service, Limit: r.throttler.Limit(), UnderWay: r.throttler.UnderWay(), Waiting: r.throttler.Waiting(),
		Waited: r.waited, Refused: r.refused, WaitedTime: r.waitedTime,
	}
}
