package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"cardamompulley/fleet/timekeeper"
)

const (
	crashCode     = 3
	defaultTokens = 24
	maxBodyBytes  = 32 << 20
)

// Options shape the engine.
type Options struct {
	Prefixes     int
	PrefillPerKT timekeeper.Millis
	TokenGap     timekeeper.Millis
	ColdRequests int
	ColdBears    int
}

// Faults are the switches of the stand-in.
type Faults struct {
	CrashOn    string `json:"crash-on"`
	CutAfter   int    `json:"cut-after"`
	StallAfter int    `json:"stall-after"`
	CrossNext  bool   `json:"cross-next"`
	Cold       bool   `json:"cold"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	options Options
	boot    string
	cache   *cache
	exit    func(int)

	mu      sync.Mutex
	running int
	served  int
	faults  Faults
	orders  orders
}

// NewEngine returns an engine, or an error when its cache has no room.
func NewEngine(o Options, fenced bool) (*Engine, error) {
	c, err := newCache(o.Prefixes)
	if err != nil {
		return nil, fmt.Errorf("engine: cache: %w", err)
	}

	return &Engine{options: o, boot: uuid.NewString(), cache: c, exit: os.Exit, orders: orders{fenced: fenced}}, nil
}

// Handler returns the pages of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("PUT /faults", e.putFaults)
	mux.HandleFunc("POST /orders", e.order)

	return mux
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"boot": e.boot, "running": e.running, "served": e.served, "cold": e.cold(),
		"models": e.orders.loaded,
	})
}

func (e *Engine) cold() bool {
	return e.served < e.options.ColdRequests
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Cold {
		e.served = 0
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type body struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// start counts a request in; an engine in its cold start falls over under more than it bears.
func (e *Engine) start() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	if e.cold() && e.options.ColdBears > 0 && e.running > e.options.ColdBears {
		e.exit(crashCode)
	}

	return e.faults
}

func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.served++
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var b body
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	faults := e.start()
	defer e.finish()
	if faults.CrashOn != "" && strings.Contains(b.Messages[len(b.Messages)-1].Content, faults.CrashOn) {
		e.exit(crashCode)
	}
	w.Header().Set("X-Request-Id", e.echo(r))
	cached, total := e.cache.lookup(b.Messages)
	sleep(r, e.options.PrefillPerKT*timekeeper.Millis(total-cached)/1000)
	tokens := b.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	u := usageOf(cached, total, tokens)
	if b.Stream {
		e.stream(w, r, b.Model, tokens, u, faults)

		return
	}
	sleep(r, e.options.TokenGap*timekeeper.Millis(tokens))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion(b.Model, answerText(tokens), u))
	e.cache.lookup(append(b.Messages, message{Role: "assistant", Content: answerText(tokens)}))
}

func (e *Engine) echo(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrossNext {
		e.faults.CrossNext = false

		return "another-attempt"
	}

	return r.Header.Get("X-Request-Id")
}

func sleep(r *http.Request, span timekeeper.Millis) {
	if span <= 0 {
		return
	}
	select {
	case <-time.After(span.Duration()):
	case <-r.Context().Done():
	}
}

func answerText(tokens int) string {
	return strings.TrimSpace(strings.Repeat("word ", tokens))
}
