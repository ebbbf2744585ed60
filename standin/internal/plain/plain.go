package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"cardamompulley/fleet/timekeeper"
)

const maxBodyBytes = 1 << 20

// Faults are the switches of the stand-in.
type Faults struct {
	Delay    timekeeper.Millis `json:"delay-ms"`
	CutAfter bool              `json:"cut-after-run"`
}

// Service counts how often each booking ran; it does not look for repeats itself.
type Service struct {
	boot string

	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// NewService returns a service without bookings.
func NewService() *Service {
	return &Service{boot: uuid.NewString(), runs: map[string]int{}}
}

// Handler returns the pages of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lookup/{name}", s.lookup)
	mux.HandleFunc("POST /bookings", s.book)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"boot": s.boot, "running": 0, "cold": false})
	})

	return mux
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"name": r.PathValue("name"), "note": "tagged"})
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	run, faults := s.runs[key], s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay.Duration())
	if faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]any{"booking": key, "run": run, "bytes": len(body)})
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}
