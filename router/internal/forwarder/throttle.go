package forwarder

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/throttler"
	"cardamompulley/fleet/timekeeper"
)

// errWaitEnded means that a request has ended before its service had room for it.
var errWaitEnded = errors.New("forwarder: the wait for room has ended")

// roomUse is the room that a request has at its service, and how its attempt has gone. room is nil for requests that need none.
type roomUse struct {
	room *room
	// hasRoom is true from the grant to the end of the attempt.
	hasRoom   bool
	startedAt timekeeper.Millis
	outcome   throttler.Outcome
	// duration is how long the endpoint took to begin its response.
	duration timekeeper.Millis
	// waited is how long the request has waited for room, over all attempts.
	waited timekeeper.Millis
	limit  float64
}

// needsRoom reports whether the request needs room: it goes to a plain service and its response is due.
func (p *proxiedRequest) needsRoom() bool {
	service, ok := p.view.Configuration.Services[p.service]

	return p.forwarder.ThrottlePlainServices && ok && !service.IsEngine && p.route.TargetLatency > 0 && p.route.Kind != cataloguer.KindStream
}

// enterRoom waits until the service has room for the request, or returns a refusal.
func (p *proxiedRequest) enterRoom() *model.Refusal {
	if !p.needsRoom() {
		return nil
	}
	r := p.forwarder.room(p.service)
	now := p.forwarder.clock.Now()
	p.roomUse.room = r
	decision, ticket, granted := r.arrive(p.roomRequest(), p.forwarder.capacity(p.view, p.service, now), now)
	switch decision.Action {
	case throttler.ActionRefuse:
		return p.roomRefusal(decision.RetryAfter)
	case throttler.ActionWait:
		return p.waitForRoom(r, ticket, granted)
	case throttler.ActionRun:
	}
	p.takeRoom(now)

	return nil
}

func (p *proxiedRequest) roomRequest() throttler.Request {
	return throttler.Request{
		Account:       p.account.ID,
		Priority:      prioritizer.Of(p.route, p.account),
		ArrivedAt:     p.arrivedAt,
		TargetLatency: p.route.TargetLatency,
		Deadline:      p.deadline,
		IsRepeat:      len(p.triedEndpoints) > 0,
	}
}

// waitForRoom waits until the room's throttler has decided or the request ends.
func (p *proxiedRequest) waitForRoom(r *room, ticket queuer.Ticket, granted <-chan grant) *model.Refusal {
	start := p.forwarder.clock.Now()
	defer func() {
		p.roomUse.waited += p.forwarder.clock.Now() - start
		r.recordWait(p.forwarder.clock.Now() - start)
	}()
	for {
		now := p.forwarder.clock.Now()
		timer := time.NewTimer(max(r.advance(now)-now, 1).Duration())
		select {
		case g := <-granted:
			timer.Stop()

			return p.endWait(g)
		case <-timer.C:
		case <-p.ctx.Done():
			timer.Stop()
			if !r.cancel(ticket) {
				if refusal := p.endWait(<-granted); refusal != nil {
					return refusal
				}
				p.leaveRoom()
			}

			return p.endedWaitRefusal()
		}
	}
}

func (p *proxiedRequest) endWait(g grant) *model.Refusal {
	if g.isRefused {
		return p.roomRefusal(g.retryAfter)
	}
	p.takeRoom(g.startedAt)

	return nil
}

// endedWaitRefusal is the refusal of a request that has ended while it waited.
func (p *proxiedRequest) endedWaitRefusal() *model.Refusal {
	if errors.Is(p.nameOwnEnd(errWaitEnded), errShutdown) {
		return shutdownRefusal()
	}

	return p.roomRefusal(earlyRefusalRetryAfter)
}

func (p *proxiedRequest) roomRefusal(retryAfter timekeeper.Millis) *model.Refusal {
	p.roomUse.limit = p.roomUse.room.state().Limit

	return model.NewRefusal(model.CodeOverloaded, "the service has no room for the request in time").WithRetryAfter(retryAfter)
}

// takeRoom records that the request has room since startedAt. leaveRoom must follow.
func (p *proxiedRequest) takeRoom(startedAt timekeeper.Millis) {
	u := &p.roomUse
	u.hasRoom, u.startedAt, u.outcome = true, startedAt, throttler.OutcomeUnknown
	u.limit = u.room.state().Limit
}

// leaveRoom gives the room of the attempt back, if it has any.
func (p *proxiedRequest) leaveRoom() {
	u := &p.roomUse
	if !u.hasRoom {
		return
	}
	u.hasRoom = false
	u.room.finish(u.outcome, u.startedAt, u.duration, p.route.TargetLatency, p.forwarder.clock.Now())
}

// recordRoomResponse records how long the endpoint took to begin its response. A failure says nothing of the room.
func (p *proxiedRequest) recordRoomResponse(status int) {
	u := &p.roomUse
	u.duration = p.forwarder.clock.Now() - u.startedAt
	if status < http.StatusInternalServerError {
		u.outcome = throttler.OutcomeServed
	}
}

// recordRoomRejection records that the endpoint did not run the request because it is full.
func (p *proxiedRequest) recordRoomRejection(status int) {
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && !p.endpointLeaves && p.advertisedLimit == 0 {
		p.roomUse.outcome = throttler.OutcomeRejected
	}
}

// roomFields returns the log fields of the request's room.
func (p *proxiedRequest) roomFields() []logger.Field {
	if p.roomUse.room == nil {
		return nil
	}
	s := p.roomUse.room.state()

	return []logger.Field{
		logger.Int("room-limit-percent", int(100*p.roomUse.limit)),
		logger.Int("room-under-way", s.UnderWay),
		logger.Int("room-waiting", s.Waiting),
		logger.Int("room-wait-ms", p.roomUse.waited),
	}
}

// room returns the room of a service.
func (f *Forwarder) room(id model.ServiceID) *room {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rooms[id]
	if !ok {
		r = newRoom(id, f.log)
		f.rooms[id] = r
	}

	return r
}

// MaintainRooms brings the rooms up to date, also those at which nothing arrives, and forgets those of services that have left the
// configuration once they are empty.
func (f *Forwarder) MaintainRooms() {
	v, now := f.CurrentView(), f.clock.Now()
	for _, r := range f.allRooms() {
		if _, ok := v.Configuration.Services[r.service]; !ok && r.isEmpty() {
			f.forgetRoom(r.service)

			continue
		}
		r.update(f.capacity(v, r.service, now), now)
	}
}

// forgetRoom forgets the room of a service. A request that has it already ends there.
func (f *Forwarder) forgetRoom(id model.ServiceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rooms, id)
}

func (f *Forwarder) allRooms() []*room {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Collect(maps.Values(f.rooms))
}

// capacity returns what the gateway knows of the capacity of a service.
func (f *Forwarder) capacity(v *cataloguer.View, id model.ServiceID, now timekeeper.Millis) throttler.Capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.balancer.Capacity(v, id, throttler.WaitingShare, now)

	return throttler.Capacity{
		Endpoints: c.Endpoints, Slots: c.Slots, Taken: c.Taken, Spare: c.Spare, Gateways: len(f.balancer.Membership.Members()),
	}
}

// RoomStates returns the rooms of all services, in the order of their IDs.
func (f *Forwarder) RoomStates() []RoomState {
	rooms := f.allRooms()
	states := make([]RoomState, 0, len(rooms))
	for _, r := range rooms {
		states = append(states, r.state())
	}
	slices.SortFunc(states, func(a, b RoomState) int { return strings.Compare(string(a.Service), string(b.Service)) })

	return states
}
