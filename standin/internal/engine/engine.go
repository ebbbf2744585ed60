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
	crashExitCode    = 3
	defaultMaxTokens = 24
	maxBodyBytes     = 32 << 20
)

// Options configures an Engine.
type Options struct {
	// MaxCachedPrefixes is the capacity of the prefix cache.
	MaxCachedPrefixes int
	// PrefillPerThousandTokens is the time to process 1000 uncached prompt tokens.
	PrefillPerThousandTokens timekeeper.Millis
	// TokenInterval is the time between generated tokens.
	TokenInterval timekeeper.Millis
	// ColdStartRequests is the number of requests after which the cold start ends.
	ColdStartRequests int
	// MaxColdConcurrency is the number of concurrent requests above which a cold engine crashes. If 0, there is no limit.
	MaxColdConcurrency int
}

// Faults holds the faults that PUT /faults injects.
type Faults struct {
	// CrashOnText makes the engine exit if the last message of a request contains this text.
	CrashOnText string `json:"crash-on"`
	// AbortAfterTokens aborts the connection of a stream after this many tokens. If 0, no stream is aborted.
	AbortAfterTokens int `json:"cut-after"`
	// StallAfterTokens stops a stream after this many tokens and keeps its connection open. If 0, no stream stalls.
	StallAfterTokens int `json:"stall-after"`
	// MismatchNextID answers the next request under the ID of another attempt.
	MismatchNextID bool `json:"cross-next"`
	// RestartColdStart begins a new cold start.
	RestartColdStart bool `json:"cold"`
}

// Engine is a stand-in for a model engine. Its boot ID changes with every start of the process.
type Engine struct {
	options Options
	bootID  string
	cache   *prefixCache
	exit    func(int)

	mu         sync.Mutex
	running    int
	served     int
	faults     Faults
	modelLoads modelLoads
}

// NewEngine returns an engine. If requireFencing is set, the engine refuses model load commands with an older fencing token
// than an earlier command had. NewEngine returns an error if the capacity of the prefix cache is not positive.
func NewEngine(o Options, requireFencing bool) (*Engine, error) {
	c, err := newPrefixCache(o.MaxCachedPrefixes)
	if err != nil {
		return nil, fmt.Errorf("engine: create prefix cache: %w", err)
	}

	return &Engine{
		options: o, bootID: uuid.NewString(), cache: c, exit: os.Exit, modelLoads: modelLoads{requireFencing: requireFencing},
	}, nil
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChatCompletion)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("PUT /faults", e.handleFaults)
	mux.HandleFunc("POST /orders", e.handleModelLoad)

	return mux
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"boot": e.bootID, "running": e.running, "served": e.served, "cold": e.isCold(),
		"models": e.modelLoads.models,
	})
}

func (e *Engine) isCold() bool {
	return e.served < e.options.ColdStartRequests
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.RestartColdStart {
		e.served = 0
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// beginRequest counts a request as running and returns the current faults. During a cold start it exits the process if more
// requests run than MaxColdConcurrency allows.
func (e *Engine) beginRequest() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	if e.isCold() && e.options.MaxColdConcurrency > 0 && e.running > e.options.MaxColdConcurrency {
		e.exit(crashExitCode)
	}

	return e.faults
}

func (e *Engine) finishRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.served++
}

func (e *Engine) handleChatCompletion(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	faults := e.beginRequest()
	defer e.finishRequest()
	if faults.CrashOnText != "" && strings.Contains(request.Messages[len(request.Messages)-1].Content, faults.CrashOnText) {
		e.exit(crashExitCode)
	}
	w.Header().Set("X-Request-Id", e.responseID(r))
	cachedTokens, promptTokens := e.cache.matchAndStore(request.Messages)
	sleep(r, e.options.PrefillPerThousandTokens*timekeeper.Millis(promptTokens-cachedTokens)/1000)
	completionTokens := request.MaxTokens
	if completionTokens <= 0 {
		completionTokens = defaultMaxTokens
	}
	u := newUsage(cachedTokens, promptTokens, completionTokens)
	if request.Stream {
		e.streamCompletion(w, r, request.Model, completionTokens, u, faults)

		return
	}
	sleep(r, e.options.TokenInterval*timekeeper.Millis(completionTokens))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newChatCompletion(request.Model, completionText(completionTokens), u))
	e.cache.matchAndStore(append(request.Messages, message{Role: "assistant", Content: completionText(completionTokens)}))
}

// responseID returns the X-Request-Id of the response: the ID of the request, or a foreign one if MismatchNextID is set.
func (e *Engine) responseID(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.MismatchNextID {
		e.faults.MismatchNextID = false

		return "another-attempt"
	}

	return r.Header.Get("X-Request-Id")
}

// sleep waits for d or until the request is cancelled.
func sleep(r *http.Request, d timekeeper.Millis) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d.Duration()):
	case <-r.Context().Done():
	}
}

func completionText(tokens int) string {
	return strings.TrimSpace(strings.Repeat("word ", tokens))
}
