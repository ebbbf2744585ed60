package review

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached a runner.
type arrival struct {
	runner  string
	zone    string
	service string
	attempt string
	path    string
	tenant  string
	at      time.Time
	// firstEvent is the event after which a stream began there.
	firstEvent int
}

// runner plays one runner of a service. It speaks as the pages say; answer makes its answers.
type runner struct {
	world   *world
	id      string
	zone    string
	service string
	address string
	slots   int
	// answer writes the answer of a request that the runner runs. The head that runners set is set already.
	answer func(r *runner, w http.ResponseWriter, q *http.Request, body []byte)

	mu         sync.Mutex
	state      string
	sequence   int
	isListed   bool
	isCrashed  bool
	conns      map[net.Conn]bool
	arrivals   []arrival
	listener   net.Listener
	server     *http.Server
	stopBeat   chan struct{}
	listedLast time.Time
	// born is the time of the start in Unix milliseconds.
	born int64
}

// startRunner starts a runner and registers it in the store.
func (w *world) startRunner(id, zone, service string, slots int, answer func(*runner, http.ResponseWriter, *http.Request, []byte)) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		world: w, id: id, zone: zone, service: service, address: l.Addr().String(), slots: slots, answer: answer,
		state: "ready", conns: map[net.Conn]bool{}, listener: l, stopBeat: make(chan struct{}), isListed: true, born: time.Now().UnixMilli(),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle), ConnState: r.track, IdleTimeout: 15 * time.Second}
	go r.server.Serve(l)
	r.beat()
	go r.keepBeating()
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()

	return r, nil
}

func (r *runner) track(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(r.conns, c)
	} else {
		r.conns[c] = true
	}
}

// beat writes the runner's entry, and returns when the store has confirmed it.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isListed {
		return
	}
	r.sequence++
	r.listedLast = time.Now()
	r.world.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold-remaining-ms": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": r.sequence, "born": r.born,
	})
}

func (r *runner) keepBeating() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.beat()
		case <-r.stopBeat:
			return
		}
	}
}

// drain reports that the runner is draining and returns the time of the confirmation.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()

	return time.Now()
}

// crash ends the runner at once: it resets its connections and sends nothing any more. Its entry expires.
func (r *runner) crash() {
	r.mu.Lock()
	if r.isCrashed {
		r.mu.Unlock()

		return
	}
	r.isCrashed, r.isListed = true, false
	close(r.stopBeat)
	r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	last := r.listedLast
	r.mu.Unlock()
	time.AfterFunc(time.Until(last.Add(leaseBeats*heartbeat)), func() { r.world.store.remove("servers/" + r.id) })
}

// leave ends the runner as planned: it removes its entry and closes its connections.
func (r *runner) leave() {
	r.world.store.remove("servers/" + r.id)
	r.crash()
}

func (r *runner) handle(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if q.URL.Path == "/health" {
		r.health(w)

		return
	}
	if q.URL.Path == "/report" {
		r.report(w)

		return
	}
	if q.URL.Path == "/kv-list" {
		respond(w, map[string]any{"epoch": 1, "next": 1, "held": []any{}})

		return
	}
	attempt := q.Header.Get("Cardamompulley-Attempt-Id")
	h.Set("Cardamompulley-Attempt-Id", attempt)
	h.Set("Keep-Alive", "timeout=15")
	if target := q.Header.Get("Cardamompulley-Target-Instance"); target != "" && target != r.id {
		h.Set("Cardamompulley-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	at := time.Now()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	a := arrival{
		runner: r.id, zone: r.zone, service: r.service, attempt: attempt, path: q.RequestURI,
		tenant: q.Header.Get("Cardamompulley-Tenant"), at: at, firstEvent: first,
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	state := r.state
	r.mu.Unlock()
	r.world.note("runner %s (%s, %s, %s) runs %s %s, tenant %q, Last-Event-Id %q", r.id, r.service, r.zone, state, attempt, a.path, a.tenant,
		q.Header.Get("Last-Event-Id"))
	h.Set("Cardamompulley-Response-Signature", "signed."+r.id+"."+attempt)
	h.Set("Cardamompulley-Server-Load", fmt.Sprintf("1,0,%d", r.slots))
	r.answer(r, w, q, body)
}

// health answers a status check.
func (r *runner) health(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Cardamompulley-Instance-Id", r.id)
	if r.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// report tells the runner's state.
func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	respond(w, map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": r.sequence, "queue-depth": 0, "in-flight": 0, "kv-used": 0, "kv-total": 505355, "handles": 0, "born": r.born,
	})
}

// allArrivals returns what has reached the runners of the world.
func (w *world) allArrivals() []arrival {
	w.mu.Lock()
	runners := append([]*runner{}, w.runners...)
	w.mu.Unlock()
	var all []arrival
	for _, r := range runners {
		r.mu.Lock()
		all = append(all, r.arrivals...)
		r.mu.Unlock()
	}

	return all
}

// streamOf returns an answer that sends a stream of count events, one each pause, with the texts that text gives. The texts are the
// same at every runner, so that a stream can be resumed anywhere.
func streamOf(count int, pause time.Duration, text func(path string, n int) string) func(*runner, http.ResponseWriter, *http.Request, []byte) {
	return func(r *runner, w http.ResponseWriter, q *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cardamompulley-Weight-Versions", "1")
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= count; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text(q.URL.Path, n)); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-q.Context().Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

// plainAnswer sends a short text.
func plainAnswer(r *runner, w http.ResponseWriter, q *http.Request, _ []byte) {
	text := strings.Repeat("filed ", 20)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
