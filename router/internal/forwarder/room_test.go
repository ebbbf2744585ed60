package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/throttler"
	"cardamompulley/fleet/timekeeper"
)

const (
	rejection = "HTTP/1.1 503 Service Unavailable\r\nCardamompulley-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	success   = "HTTP/1.1 200 OK\r\nCardamompulley-Attempt-Id: c\r\nCardamompulley-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
)

// newShortForwarder returns a forwarder whose plain service has just rejected two requests, and whose endpoint serves the next one. If
// requests are throttled, another one has the only room that there is until leave is called.
func newShortForwarder(t *testing.T, target timekeeper.Millis, isThrottled bool) (f *Forwarder, leave func()) {
	t.Helper()
	f = newTestForwarder(listenWithAnswers(t, true, rejection, rejection, success))
	v := f.CurrentView()
	c := cataloguer.NewConfiguration(2, cataloguer.Limits{}, []cataloguer.Route{{
		Name: "r", Host: "a", Prefix: "/", Kind: cataloguer.KindOnce, IsPublic: true, TargetLatency: target,
		TrafficSplit: []cataloguer.WeightedService{{Service: "s", Weight: 1}},
	}}, []cataloguer.Service{{ID: "s"}}, nil, false)
	view := cataloguer.NewView(c, nil, v.Endpoints("s"), v.ChangedAt)
	f.CurrentView = func() *cataloguer.View { return view }
	f.ThrottlePlainServices = isThrottled
	for _, id := range []model.AttemptID{"a", "b"} {
		if w, _ := serve(f, id); w.Code != http.StatusServiceUnavailable {
			t.Fatalf("request %s got status %d, want a refusal", id, w.Code)
		}
	}

	if !isThrottled {
		return f, func() {}
	}
	now, r := f.clock.Now(), f.room("s")
	if d, _, _ := r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: target}, f.capacity(view, "s", now), now); d.Action != throttler.ActionRun {
		t.Fatalf("no room for one request: %s", d.Action)
	}

	return f, func() { r.finish(throttler.OutcomeUnknown, now, 0, target, f.clock.Now()) }
}

func checkEmpty(t *testing.T, f *Forwarder) {
	t.Helper()
	for _, s := range f.RoomStates() {
		if s.UnderWay != 0 || s.Waiting != 0 {
			t.Errorf("%d requests under way and %d waiting after the end, want none", s.UnderWay, s.Waiting)
		}
	}
}

func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	f, leave := newShortForwarder(t, 60, true)
	const more = 40
	now, r := f.clock.Now(), f.room("s")
	for range more {
		r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: 60, Deadline: now + 1}, f.capacity(f.CurrentView(), "s", now), now)
	}
	start := time.Now()
	w, _ := serve(f, "c")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 with the time to come back", w.Code, w.Header().Get("Retry-After"))
	}
	if took := time.Since(start); took > 50*time.Millisecond {
		t.Errorf("the refusal took %s", took)
	}
	if s := f.RoomStates()[0]; s.Refused != more+1 {
		t.Errorf("%d refused for lack of room, want %d", s.Refused, more+1)
	}
	leave()
	checkEmpty(t, f)
}

func TestThrottlingCanBeSwitchedOff(t *testing.T) {
	f, _ := newShortForwarder(t, 60, false)
	if w, _ := serve(f, "c"); w.Code != http.StatusOK {
		t.Errorf("status %d, want 200", w.Code)
	}
	if len(f.RoomStates()) > 0 {
		t.Error("the service has a room although throttling is off")
	}
}

func TestRequestWaitsForRoom(t *testing.T) {
	f, leave := newShortForwarder(t, 5*timekeeper.Second, true)
	time.AfterFunc(20*time.Millisecond, leave)
	if w, _ := serve(f, "c"); w.Code != http.StatusOK {
		t.Errorf("status %d, want 200", w.Code)
	}
	if s := f.RoomStates()[0]; s.Waited != 1 || s.WaitedTime == 0 {
		t.Errorf("%d requests waited %d ms, want one that did", s.Waited, s.WaitedTime)
	}
	checkEmpty(t, f)
}

func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	f, leave := newShortForwarder(t, 5*timekeeper.Second, true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r := httptest.NewRequest(http.MethodGet, "http://a/", nil).WithContext(ctx)
	r.Header.Set("Cardamompulley-Attempt-Id", "c")
	defer func() {
		if recover() == nil {
			t.Error("the request of a caller that has left was answered")
		}
		leave()
		checkEmpty(t, f)
	}()
	f.ServeHTTP(httptest.NewRecorder(), r)
}

func TestShutdownEndsWaits(t *testing.T) {
	f, leave := newShortForwarder(t, 5*timekeeper.Second, true)
	time.AfterFunc(20*time.Millisecond, f.EndRequests)
	if w, _ := serve(f, "c"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503: the request has not run", w.Code)
	}
	leave()
	checkEmpty(t, f)
}

// A request that has lost its place in the queue may leave before it is told so. The room must go on without it.
func TestCallerThatLeavesAfterItLostItsPlace(t *testing.T) {
	f, leave := newShortForwarder(t, 5*timekeeper.Second, true)
	now, r := f.clock.Now(), f.room("s")
	c := f.capacity(f.CurrentView(), "s", now)
	arrive := func(account model.AccountID) queuer.Ticket {
		request := throttler.Request{Account: account, ArrivedAt: now, TargetLatency: 5 * timekeeper.Second, Deadline: now + timekeeper.Minute}
		_, ticket, _ := r.arrive(request, c, now)

		return ticket
	}
	var tickets []queuer.Ticket
	for range 2000 {
		tickets = append(tickets, arrive("hot"))
	}
	for n := range 50 {
		tickets = append(tickets, arrive(model.AccountID(rune('a'+n))))
	}
	for _, ticket := range tickets {
		r.cancel(ticket)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.advance(now)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the room stands still after a request that had lost its place has left")
	}
	leave()
	checkEmpty(t, f)
}

// A repeat that is refused for lack of room reaches no endpoint, so others may have its part of the retry budget.
func TestRepeatWithoutRoomGivesItsRetryBack(t *testing.T) {
	f, leave := newShortForwarder(t, 60, true)
	defer leave()
	now, r := f.clock.Now(), f.room("s")
	for range 40 {
		r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: 60, Deadline: now + 1}, f.capacity(f.CurrentView(), "s", now), now)
		f.recordRequest("s")
	}
	request := httptest.NewRequest(http.MethodGet, "http://a/", nil)
	request.Header.Set("Cardamompulley-Attempt-Id", "c")
	p := newProxiedRequest(f, httptest.NewRecorder(), request)
	if refusal := p.prepare(); refusal != nil {
		t.Fatal(refusal)
	}
	if !p.trySpendRetry() {
		t.Fatal("no retry in the budget")
	}
	takeOther := func() bool { return f.trySpendRetry("s", budgeter.Draw{}) > 0 }
	for takeOther() {
	}
	if refusal := p.chooseEndpoint(); refusal == nil || refusal.Code != model.CodeOverloaded {
		t.Fatalf("refusal %v, want one for lack of room", refusal)
	}
	if !takeOther() {
		t.Error("the retry that was not made is missing in the budget")
	}
	if takeOther() {
		t.Error("more retries than the one that was not made")
	}
}

// A shortage ends also if nothing arrives any more, and the room of a service that has left the configuration goes once it is empty.
func TestRoomsAreMaintainedWithoutArrivals(t *testing.T) {
	f, leave := newShortForwarder(t, 60, true)
	now, r := f.clock.Now(), f.room("s")
	busy := throttler.Capacity{Endpoints: 1, Slots: 1, Taken: 1, Gateways: 1}
	r.arrive(throttler.Request{ArrivedAt: now, TargetLatency: 60, Deadline: now + 1}, busy, now)
	f.clock.Now = func() timekeeper.Millis { return now + timekeeper.Second }
	f.MaintainRooms()
	if s := f.RoomStates()[0]; s.Limit != 0 {
		t.Errorf("limit %.2f a second after the last arrival, although the endpoints are not busy any more", s.Limit)
	}
	empty := cataloguer.NewView(cataloguer.NewConfiguration(3, cataloguer.Limits{}, nil, nil, nil, false), nil, nil, now)
	f.CurrentView = func() *cataloguer.View { return empty }
	f.MaintainRooms()
	if n := len(f.RoomStates()); n != 1 {
		t.Errorf("%d rooms while a request is under way, want 1", n)
	}
	leave()
	f.MaintainRooms()
	if n := len(f.RoomStates()); n != 0 {
		t.Errorf("%d rooms after the last request of a service that has gone, want none", n)
	}
}
