package responder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
)

// Platform headers that an endpoint reads or writes.
const (
	headerAttemptID      = "Cardamompulley-Attempt-Id"
	headerTargetInstance = "Cardamompulley-Target-Instance"
	headerSignature      = "Cardamompulley-Response-Signature"
	headerNotExecuted    = "Cardamompulley-Not-Executed"
	headerServerLoad     = "Cardamompulley-Server-Load"
	headerTokenCounts    = "Cardamompulley-Token-Counts"
	headerLastEventID    = "Last-Event-Id"
	headerLimit          = "Server-Limit"
	headerLeaving        = "Server-Leaving"
	headerRetryAfter     = "Retry-After"
	headerModel          = "Cardamompulley-Model"
	headerPromptPrefix   = "Cardamompulley-Prompt-Prefix"
)

// Faults holds the faults that PUT /standin/faults injects.
type Faults struct {
	// ErrorStatus is the status of the signed error response that every request gets after its execution. If 0, requests
	// succeed.
	ErrorStatus int `json:"status"`
	// RejectRequests answers requests with status 503 and marks them as not executed.
	RejectRequests bool `json:"full"`
	// MismatchAttemptID responds under the ID of another attempt.
	MismatchAttemptID bool `json:"cross"`
	// OmitSignature sends responses without a signature.
	OmitSignature bool `json:"unsigned"`
	// ExtraResponse sends a second response, which no request asked for, on the same connection after the short text.
	ExtraResponse bool `json:"extra"`
	// DropResponse executes the request and closes the connection without a response.
	DropResponse bool `json:"lose-answer"`
	// AbortAfterEvents aborts a stream after this many events, in the middle of the next one. If 0, no stream is aborted.
	AbortAfterEvents int `json:"cut-after"`
	// ResponseBytes is the size of the response to a plain request, for which the handler sets no Content-Length. If 0, the
	// response is a short text with Content-Length.
	ResponseBytes int `json:"long"`
	// HoldRequests keeps requests running until their client disconnects.
	HoldRequests bool `json:"hold"`
	// Limit is the number of requests a second that the endpoint asks for in its answers. If 0, it advertises none.
	Limit float64 `json:"limit"`
	// Leaving says in all answers that the endpoint is about to end.
	Leaving bool `json:"leaving"`
	// Backoff is the number of seconds for which a request that is rejected asks the gateway to send nothing. If 0, it asks for none.
	Backoff float64 `json:"backoff"`
}

// ExecutedRequest is a request that the endpoint has executed or is executing.
type ExecutedRequest struct {
	AttemptID  string      `json:"attempt"`
	Method     string      `json:"method"`
	RequestURI string      `json:"target"`
	Header     http.Header `json:"header"`
	Body       string      `json:"body"`
	// ArrivedAt is a Unix time in milliseconds.
	ArrivedAt int64 `json:"arrived-ms"`
	// Events is the number of events that the endpoint has sent.
	Events int `json:"events"`
}

// Responder is a stand-in for an endpoint of the platform.
type Responder struct {
	id string
	// Software is named in every event, unless it is empty.
	Software        string
	eventsPerStream int
	eventInterval   timekeeper.Millis

	mu       sync.Mutex
	faults   Faults
	executed []ExecutedRequest
	// rejections holds the Unix times in milliseconds at which requests were rejected.
	rejections []int64
	running    int
}

// NewResponder returns an endpoint that signs its responses as id. Its streams have eventsPerStream events, eventInterval
// apart.
func NewResponder(id string, eventsPerStream int, eventInterval timekeeper.Millis) *Responder {
	return &Responder{id: id, eventsPerStream: eventsPerStream, eventInterval: eventInterval}
}

// Handler returns the HTTP handler of the endpoint. The paths under /standin/ control the stand-in; all others belong to the
// simulated service.
func (p *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", p.handleFaults)
	mux.HandleFunc("GET /standin/runs", p.handleExecutedRequests)
	mux.HandleFunc("GET /kv-list", p.handleCacheList)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A mux would redirect paths that are not clean.
		if _, pattern := mux.Handler(r); pattern != "" && path.Clean(r.URL.Path) == r.URL.Path {
			mux.ServeHTTP(w, r)

			return
		}
		p.handleRequest(w, r)
	})
}

func (p *Responder) handleRequest(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	attemptID := r.Header.Get(headerAttemptID)
	w.Header().Set(headerAttemptID, attemptID)
	if f.Limit > 0 {
		w.Header().Set(headerLimit, strconv.FormatFloat(f.Limit, 'f', -1, 64))
	}
	if f.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
	if target := r.Header.Get(headerTargetInstance); target != "" && target != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	if f.RejectRequests {
		p.reject(w, f)

		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.execute(w, r, f, ExecutedRequest{
		AttemptID: attemptID, Method: r.Method, RequestURI: r.RequestURI, Header: r.Header.Clone(), Body: string(body),
		ArrivedAt: time.Now().UnixMilli(),
	})
}

// reject turns a request away, with the backoff that the faults ask for.
func (p *Responder) reject(w http.ResponseWriter, f Faults) {
	p.mu.Lock()
	p.rejections = append(p.rejections, time.Now().UnixMilli())
	p.mu.Unlock()
	w.Header().Set(headerNotExecuted, "1")
	if f.Backoff > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(f.Backoff, 'f', -1, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (p *Responder) execute(w http.ResponseWriter, r *http.Request, f Faults, record ExecutedRequest) {
	p.mu.Lock()
	number := len(p.executed)
	p.executed = append(p.executed, record)
	p.running++
	w.Header().Set(headerServerLoad, fmt.Sprintf("%d,0,64", p.running))
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if f.HoldRequests {
		<-r.Context().Done()

		return
	}
	if f.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if f.MismatchAttemptID {
		w.Header().Set(headerAttemptID, "another")
	}
	if !f.OmitSignature {
		w.Header().Set(headerSignature, "signed-by-"+p.id)
	}
	if f.ErrorStatus != 0 {
		w.WriteHeader(f.ErrorStatus)
		_, _ = io.WriteString(w, "failed at "+p.id)

		return
	}
	if r.Header.Get(headerTokenCounts) != "" {
		p.streamEvents(w, r, f, number)

		return
	}
	p.respond(w, r, f)
}

func (p *Responder) respond(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.ResponseBytes > 0 {
		// A write error means that the client has disconnected.
		_, _ = io.CopyN(w, zeroDigits{}, int64(f.ResponseBytes))

		return
	}
	text := "served by " + p.id + " " + r.Method + " " + r.RequestURI
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	if !f.ExtraResponse {
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

// zeroDigits is an endless reader of the digit 0.
type zeroDigits struct{}

// Read fills b with the digit 0.
func (zeroDigits) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = '0'
	}

	return len(b), nil
}

// streamEvents sends the events of a stream, the number-th execution, from the one after Last-Event-Id if the request has this header.
func (p *Responder) streamEvents(w http.ResponseWriter, r *http.Request, f Faults, number int) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if lastID, err := strconv.Atoi(r.Header.Get(headerLastEventID)); err == nil {
		first = lastID + 1
	}
	suffix := ""
	if p.Software != "" {
		suffix = " of " + p.Software
	}
	for n := first; n <= p.eventsPerStream; n++ {
		if f.AbortAfterEvents > 0 && n-first == f.AbortAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half of", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, imitator.Event(n, fmt.Sprintf("piece %d%s", n, suffix)))
		p.mu.Lock()
		p.executed[number].Events++
		p.mu.Unlock()
		_ = http.NewResponseController(w).Flush()
		time.Sleep(p.eventInterval.Duration())
	}
}

func (p *Responder) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Responder) handleExecutedRequests(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"running": p.running, "runs": p.executed, "rejections-ms": p.rejections})
}

// handleCacheList lists the prompt parts of all requests that the endpoint has executed. Each event that it has sent counts as a token
// of the last part.
func (p *Responder) handleCacheList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := [][]any{}
	for _, r := range p.executed {
		parts := strings.Split(r.Header.Get(headerPromptPrefix), ",")
		for n, part := range parts {
			id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
			count, err := strconv.Atoi(tokens)
			if err != nil {
				continue
			}
			if n == len(parts)-1 {
				count += r.Events
			}
			held = append(held, []any{"", id, count, r.Header.Get(headerModel)})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": len(held), "held": held})
}
