package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const maxPatchBytes = 32 << 20

// Faults are the switches of the stand-in.
type Faults struct {
	Down  bool `json:"down"`
	Stale bool `json:"stale"`
}

// Platform keeps numbered configurations, as operators publish them, and the VM list.
type Platform struct {
	mu        sync.Mutex
	document  model.Document
	published configurator.EncodedVersion
	shown     configurator.EncodedVersion
	values    map[string][]byte
	vms       []model.VM
	vmsTag    int
	faults    Faults
	changed   chan struct{}
	calls     atomic.Int64
}

// NewPlatform returns a platform that holds a document as version 1, or an error for an invalid one.
func NewPlatform(document model.Document) (*Platform, error) {
	p := &Platform{values: map[string][]byte{}, changed: make(chan struct{})}
	if err := configurator.Validate(document); err != nil {
		return nil, err
	}

	return p, p.publish(1, document)
}

func (p *Platform) publish(version model.Version, document model.Document) error {
	published, err := configurator.EncodeVersion(version, document)
	if err != nil {
		return err
	}
	for hash, value := range published.Values {
		p.values[hash] = value
	}
	p.document = document
	p.published = published
	if !p.faults.Stale {
		p.show()
	}

	return nil
}

func (p *Platform) show() {
	p.shown = p.published
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the pages of the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/manifest", p.counted(p.manifest))
	mux.HandleFunc("GET /v1/config/values/{hash}", p.counted(p.value))
	mux.HandleFunc("GET /v1/vms", p.counted(p.listVMs))
	mux.HandleFunc("PUT /v1/vms", p.putVMs)
	mux.HandleFunc("GET /v1/document", p.showDocument)
	mux.HandleFunc("POST /v1/patches", p.patch)
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatInt(p.calls.Load(), 10))
	})

	return mux
}

// counted counts the calls of readers and refuses them while the service is down.
func (p *Platform) counted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		p.mu.Lock()
		down := p.faults.Down
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)

			return
		}
		next(w, r)
	}
}

func (p *Platform) manifest(w http.ResponseWriter, r *http.Request) {
	above, _ := strconv.ParseUint(r.URL.Query().Get("wait-above"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("timeout-ms"), 10, 64)
	deadline := time.After(timekeeper.Millis(wait).Duration())
	for {
		p.mu.Lock()
		shown, changed := p.shown, p.changed
		p.mu.Unlock()
		if uint64(shown.Version) > above || wait == 0 {
			_, _ = w.Write(shown.Manifest)

			return
		}
		select {
		case <-changed:
		case <-deadline:
			w.WriteHeader(http.StatusNoContent)

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) value(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.values[r.PathValue("hash")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)

		return
	}
	_, _ = w.Write(value)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	vms, tag := p.vms, strconv.Itoa(p.vmsTag)
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)

		return
	}
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []model.VM
	if !readJSON(w, r, &vms) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
	p.vmsTag++
}

// Document is the whole configuration with its version.
type Document struct {
	Version  model.Version  `json:"version"`
	Document model.Document `json:"document"`
}

func (p *Platform) showDocument(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Document{Version: p.published.Version, Document: p.document})
}

func (p *Platform) patch(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)

		return
	}
	patch, err := configurator.ParsePatch(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next, err := configurator.Apply(p.document, p.published.Version, patch)
	if err == nil {
		err = p.publish(p.published.Version+1, next)
	}
	switch {
	case errors.Is(err, configurator.ErrStaleBase):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	default:
		_, _ = io.WriteString(w, strconv.FormatUint(uint64(p.published.Version), 10))
	}
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if !f.Stale {
		p.show()
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPatchBytes)).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}

	return err == nil
}
