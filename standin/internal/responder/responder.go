package responder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// Names of the platform's headers that an endpoint reads or writes.
const (
	headerAttempt   = "Cardamompulley-Attempt-Id"
	headerTarget    = "Cardamompulley-Target-Instance"
	headerSignature = "Cardamompulley-Response-Signature"
	headerNotRun    = "Cardamompulley-Not-Executed"
	headerLoad      = "Cardamompulley-Server-Load"
	headerTokens    = "Cardamompulley-Token-Counts"
	headerLast      = "Last-Event-Id"
)

// Faults are the switches of the stand-in.
type Faults struct {
	// Status is answered, signed, as a failure of the endpoint's own; zero for none.
	Status int `json:"status"`
	// Full turns requests away unrun.
	Full bool `json:"full"`
	// Cross answers under the id of another attempt.
	Cross bool `json:"cross"`
	// Unsigned leaves the signature out.
	Unsigned bool `json:"unsigned"`
	// Extra sends a second answer after the first.
	Extra bool `json:"extra"`
	// LoseAnswer runs the request and breaks the connection.
	LoseAnswer bool `json:"lose-answer"`
	// CutAfter breaks streams in the middle of the event after so many.
	CutAfter int `json:"cut-after"`
	// Long answers plain requests with so many bytes, without a length.
	Long int `json:"long"`
	// Hold keeps requests running until their caller leaves.
	Hold bool `json:"hold"`
}

// Run is one request that the endpoint has run.
type Run struct {
	Attempt string      `json:"attempt"`
	Method  string      `json:"method"`
	Target  string      `json:"target"`
	Header  http.Header `json:"header"`
	Body    string      `json:"body"`
}

// Responder is a stand-in for an endpoint.
type Responder struct {
	id     string
	events int
	gap    timekeeper.Millis

	mu      sync.Mutex
	faults  Faults
	runs    []Run
	running int
}

// NewResponder returns an endpoint whose streams have so many events, so far apart.
func NewResponder(id string, events int, gap timekeeper.Millis) *Responder {
	return &Responder{id: id, events: events, gap: gap}
}

// Handler returns the pages of the stand-in; all but two are the service's own.
func (p *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", p.putFaults)
	mux.HandleFunc("GET /standin/runs", p.listRuns)
	mux.HandleFunc("/", p.serve)

	return mux
}

func (p *Responder) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	if target := r.Header.Get(headerTarget); target != "" && target != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	if f.Full {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.run(w, r, f, Run{Attempt: attempt, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body)})
}

func (p *Responder) run(w http.ResponseWriter, r *http.Request, f Faults, x Run) {
	p.mu.Lock()
	p.runs = append(p.runs, x)
	p.running++
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,64", p.running))
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if f.Hold {
		<-r.Context().Done()

		return
	}
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.Cross {
		w.Header().Set(headerAttempt, "another")
	}
	if !f.Unsigned {
		w.Header().Set(headerSignature, "signed-by-"+p.id)
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		_, _ = io.WriteString(w, "failed at "+p.id)

		return
	}
	if r.Header.Get(headerTokens) != "" {
		p.stream(w, r, f)

		return
	}
	p.answer(w, r, f)
}

func (p *Responder) answer(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.Long > 0 {
		// A caller that has left does not need the rest.
		_, _ = io.CopyN(w, zeros{}, int64(f.Long))

		return
	}
	text := "served by " + p.id + " " + r.Method + " " + r.RequestURI
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	if !f.Extra {
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
	_ = buffer.Flush()
	time.AfterFunc(timekeeper.Second.Duration(), func() { _ = conn.Close() })
}

// zeros is an endless source of the digit 0.
type zeros struct{}

// Read fills the buffer.
func (zeros) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = '0'
	}

	return len(b), nil
}

func (p *Responder) stream(w http.ResponseWriter, r *http.Request, f Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLast)); err == nil {
		first = last + 1
	}
	for n := first; n <= p.events; n++ {
		if f.CutAfter > 0 && n-first == f.CutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half of", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(p.gap.Duration())
	}
}

func (p *Responder) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Responder) listRuns(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"running": p.running, "runs": p.runs})
}
