package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/scripter"
	"cardamompulley/fleet/timekeeper"
)

const (
	unsizedHead = "HTTP/1.1 200 OK\r\nCardamompulley-Attempt-Id: a\r\nCardamompulley-Response-Signature: s\r\n"
	streamHead  = unsizedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent  = "id: 1\ndata\n\n"
	firstChunk  = "c\r\n" + firstEvent + "\r\n"
	// An unframed response has neither a length nor chunks and ends with its connection.
	unframedStreamHead = unsizedHead + "Content-Type: text/event-stream\r\n\r\n"
)

// crashingEndpoint accepts connections, sends the start of a response to each request and then closes its listener and all
// connections, as a process does that crashes.
type crashingEndpoint struct {
	listener net.Listener
	start    string

	mu       sync.Mutex
	conns    []net.Conn
	requests int
}

// requestCount returns the number of requests that have arrived.
func (e *crashingEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.requests
}

func newCrashingEndpoint(t *testing.T, start string) *crashingEndpoint {
	t.Helper()
	l := listen(t)
	e := &crashingEndpoint{listener: l, start: start}
	t.Cleanup(e.crash)
	go e.accept()

	return e
}

func (e *crashingEndpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *crashingEndpoint) serve(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	e.mu.Lock()
	e.requests++
	e.mu.Unlock()
	if _, err := io.WriteString(conn, e.start); err != nil {
		return
	}
	// Time for the start of the response to arrive.
	time.Sleep(20 * time.Millisecond)
	e.crash()
}

func (e *crashingEndpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

// crashesCounted returns the highest number of crashes counted against any suspect.
func crashesCounted(f *Forwarder) int {
	most := 0
	for _, s := range f.SharedSuspects(1 << 20) {
		most = max(most, len(s.Crashes))
	}

	return most
}

// serveAborting serves a request and swallows the panic that closes the caller's connection.
func serveAborting(ctx context.Context, f *Forwarder) {
	defer func() { _ = recover() }()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", "a")
	f.ServeHTTP(httptest.NewRecorder(), r)
}

// A crash must be counted however the request ended, although no other request tries to reach the endpoint afterwards.
func TestCrashIsCountedWithoutAnotherRequest(t *testing.T) {
	cases := []struct{ name, start string }{
		{"before the head", ""},
		{"in the head", unsizedHead},
		{"in a sized body", unsizedHead + "Content-Length: 100\r\n\r\nshort"},
		{"in a large body", unsizedHead + "Content-Length: 200000\r\n\r\n" + strings.Repeat("0", 100_000)},
		{"after the head of a stream", streamHead},
		{"after the first event of a stream", streamHead + firstChunk},
		{"after the head of an unframed stream", unframedStreamHead},
		{"after the first event of an unframed stream", unframedStreamHead + firstEvent},
		{"in an unframed body", unsizedHead + "\r\nshort"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashingEndpoint(t, x.start)
			f := newTestForwarder(e.listener.Addr().String())
			serveAborting(t.Context(), f)
			waitForCrash(t, f)
		})
	}
}

// A request whose caller disconnects shortly before the crash must not escape the count.
func TestCrashIsCountedAgainstRequestWhoseCallerDisconnected(t *testing.T) {
	e := newCrashingEndpoint(t, "")
	f := newTestForwarder(e.listener.Addr().String())
	ctx, disconnect := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer disconnect()
	serveAborting(ctx, f)
	time.Sleep(50 * time.Millisecond)
	f.recordCrash(f.CurrentView().Endpoint("e"))
	waitForCrash(t, f)
}

// waitForCrash waits until a crash is counted against a suspect.
func waitForCrash(t *testing.T, f *Forwarder) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); crashesCounted(f) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("no crash counted after a second, want 1")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// listenAndAnswer returns the address of an endpoint that sends the answer to the first request of each connection and closes the
// connection.
func listenAndAnswer(t *testing.T, answer string) string {
	t.Helper()

	return scripter.ServeAnswer(t, answer)
}

// A connection that breaks while the endpoint lives on is no crash.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	f := newTestForwarder(listenAndAnswer(t, ""))
	serveAborting(t.Context(), f)
	time.Sleep(600 * time.Millisecond)
	if n := crashesCounted(f); n != 0 {
		t.Fatalf("%d crashes counted, want 0", n)
	}
}

// A request that is quarantined while it is tried must not be sent again.
func TestRequestThatIsQuarantinedBetweenAttemptsIsNotSentAgain(t *testing.T) {
	first, second := newCrashingEndpoint(t, ""), newCrashingEndpoint(t, "")
	f := newTestForwarder(first.listener.Addr().String())
	view := twoEndpointView(f, first.listener.Addr().String(), second.listener.Addr().String())
	f.CurrentView = func() *cataloguer.View {
		if first.requestCount()+second.requestCount() > 0 {
			waitForCrash(t, f)
			for _, s := range f.SharedSuspects(1 << 20) {
				f.MergeSuspects("other", []quarantiner.Suspicion{
					{Suspect: s.Suspect, Crashes: []quarantiner.CrashID{1, 2}, ExpiresIn: timekeeper.Minute},
				})
			}
		}

		return view
	}
	serveAborting(t.Context(), f)
	if n := first.requestCount() + second.requestCount(); n != 1 {
		t.Fatalf("%d endpoints got the request, want 1", n)
	}
}

// twoEndpointView returns a view with two endpoints and a route whose requests may run again.
func twoEndpointView(f *Forwarder, addresses ...string) *cataloguer.View {
	const service = "s"
	route := cataloguer.Route{
		Name: "r", Host: "a", Prefix: "/", Kind: cataloguer.KindIdempotent, IsPublic: true, MaxAttempts: 5,
		TrafficSplit: []cataloguer.WeightedService{{Service: service, Weight: 1}},
	}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, []cataloguer.Route{route}, []cataloguer.Service{{ID: service}}, nil, false)
	var endpoints []*cataloguer.Endpoint
	for _, address := range addresses {
		endpoints = append(endpoints, &cataloguer.Endpoint{ID: model.EndpointID(address), Service: service, Domain: "d", Address: address})
	}
	f.UpdateBalancer(func(_ *balancer.Balancer, r *budgeter.RetryBudget) {
		for range 100 {
			r.RecordRequest(service, f.clock.Now())
		}
	})

	return cataloguer.NewView(c, nil, endpoints, f.clock.Now())
}

// A stream without a single event has broken off, even if it could have ended with its connection.
func TestUnframedStreamWithoutEventsDoesNotLookComplete(t *testing.T) {
	e := newCrashingEndpoint(t, unframedStreamHead)
	f := newTestForwarder(e.listener.Addr().String())
	w := httptest.NewRecorder()
	<-serveInBackground(f, w, t.Context())
	if w.Code != http.StatusBadGateway {
		t.Fatalf("status %d, want 502", w.Code)
	}
}

// An unframed answer clears its request only once its endpoint has turned out to be alive.
func TestUnframedAnswerOfLiveEndpointClearsRequest(t *testing.T) {
	f := newTestForwarder(listenAndAnswer(t, unframedStreamHead+firstEvent))
	suspect := quarantiner.NewRequestSuspect(http.MethodGet, "a", "/", "", nil)
	f.MergeSuspects("other", []quarantiner.Suspicion{{Suspect: suspect.ID, Crashes: []quarantiner.CrashID{1}, ExpiresIn: timekeeper.Minute}})
	if crashesCounted(f) != 1 {
		t.Fatal("the crash is not counted")
	}
	w := httptest.NewRecorder()
	<-serveInBackground(f, w, t.Context())
	if w.Code != http.StatusOK || w.Body.String() != firstEvent {
		t.Fatalf("status %d, body %q", w.Code, w.Body)
	}
	for deadline := time.Now().Add(time.Second); crashesCounted(f) > 0; {
		if time.Now().After(deadline) {
			t.Fatal("the request is not cleared")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Another process at the address of an endpoint that broke a connection shows that the endpoint has ended.
func TestCrashIsCountedIfAnotherProcessHasTheAddress(t *testing.T) {
	l := listen(t)
	requests := make(chan *http.Request, 2)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r
		if len(requests) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Cardamompulley-Attempt-Id", "a")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	f := newTestForwarder(l.Addr().String())
	serveAborting(t.Context(), f)
	if n := crashesCounted(f); n != 0 {
		t.Fatalf("%d crashes counted before the other process has answered, want 0", n)
	}
	serveAborting(t.Context(), f)
	waitForCrash(t, f)
}
