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

// Faults holds the faults that PUT /faults injects.
type Faults struct {
	// Delay is added to each booking after it has been counted.
	Delay timekeeper.Millis `json:"delay-ms"`
	// DropResponse closes the connection after a booking ran, without a response.
	DropResponse bool `json:"cut-after-run"`
}

// Service is a stand-in for a plain service. It counts the executions of each idempotency key and does not deduplicate them.
type Service struct {
	bootID string

	mu         sync.Mutex
	executions map[string]int
	faults     Faults
}

// NewService returns a service without bookings and with a random boot ID.
func NewService() *Service {
	return &Service{bootID: uuid.NewString(), executions: map[string]int{}}
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lookup/{name}", s.handleLookup)
	mux.HandleFunc("POST /bookings", s.handleBooking)
	mux.HandleFunc("GET /runs", s.handleExecutions)
	mux.HandleFunc("PUT /faults", s.handleFaults)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"boot": s.bootID, "running": 0, "cold": false})
	})

	return mux
}

func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"name": r.PathValue("name"), "note": "tagged"})
}

func (s *Service) handleBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.executions[key]++
	execution, faults := s.executions[key], s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay.Duration())
	if faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]any{"booking": key, "run": execution, "bytes": len(body)})
}

func (s *Service) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.executions)
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}
