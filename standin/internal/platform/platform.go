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

const maxBodyBytes = 32 << 20

// Faults holds the faults that PUT /faults injects.
type Faults struct {
	// Unavailable answers every read of the configuration or the VM list with status 503.
	Unavailable bool `json:"down"`
	// ServeStale withholds newly published configuration versions from readers.
	ServeStale bool `json:"stale"`
}

// Platform holds the configuration versions that operators publish and the VM list.
type Platform struct {
	mu        sync.Mutex
	document  model.Document
	published configurator.EncodedVersion
	// served is the version that readers get. It lags behind published while ServeStale is set.
	served       configurator.EncodedVersion
	valuesByHash map[string][]byte
	vmList       []model.VM
	// vmListVersion is the ETag of the VM list.
	vmListVersion int
	faults        Faults
	// versionChanged is closed and replaced whenever served is set.
	versionChanged chan struct{}
	// readerCalls counts the requests for the configuration and the VM list.
	readerCalls atomic.Int64
}

// NewPlatform returns a platform with document as configuration version 1. It returns an error if the document is invalid.
func NewPlatform(document model.Document) (*Platform, error) {
	p := &Platform{valuesByHash: map[string][]byte{}, vmList: []model.VM{}, versionChanged: make(chan struct{})}
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
		p.valuesByHash[hash] = value
	}
	p.document = document
	p.published = published
	if !p.faults.ServeStale {
		p.servePublished()
	}

	return nil
}

// servePublished makes the published version visible to readers and wakes waiting requests.
func (p *Platform) servePublished() {
	p.served = p.published
	close(p.versionChanged)
	p.versionChanged = make(chan struct{})
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/manifest", p.readerHandler(p.handleManifest))
	mux.HandleFunc("GET /v1/config/values/{hash}", p.readerHandler(p.handleValue))
	mux.HandleFunc("GET /v1/vms", p.readerHandler(p.handleGetVMs))
	mux.HandleFunc("PUT /v1/vms", p.handlePutVMs)
	mux.HandleFunc("GET /v1/document", p.handleGetDocument)
	mux.HandleFunc("POST /v1/patches", p.handlePatch)
	mux.HandleFunc("PUT /faults", p.handleFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatInt(p.readerCalls.Load(), 10))
	})

	return mux
}

// readerHandler counts requests for the configuration and the VM list, and answers 503 while Unavailable is set.
func (p *Platform) readerHandler(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.readerCalls.Add(1)
		p.mu.Lock()
		unavailable := p.faults.Unavailable
		p.mu.Unlock()
		if unavailable {
			http.Error(w, "down", http.StatusServiceUnavailable)

			return
		}
		next(w, r)
	}
}

func (p *Platform) handleManifest(w http.ResponseWriter, r *http.Request) {
	aboveVersion, _ := strconv.ParseUint(r.URL.Query().Get("wait-above"), 10, 64)
	timeoutMS, _ := strconv.ParseInt(r.URL.Query().Get("timeout-ms"), 10, 64)
	deadline := time.After(timekeeper.Millis(timeoutMS).Duration())
	for {
		p.mu.Lock()
		served, changed := p.served, p.versionChanged
		p.mu.Unlock()
		if uint64(served.Version) > aboveVersion || timeoutMS == 0 {
			_, _ = w.Write(served.Manifest)

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

func (p *Platform) handleValue(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.valuesByHash[r.PathValue("hash")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)

		return
	}
	_, _ = w.Write(value)
}

func (p *Platform) handleGetVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	vms, etag := p.vmList, strconv.Itoa(p.vmListVersion)
	p.mu.Unlock()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)

		return
	}
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) handlePutVMs(w http.ResponseWriter, r *http.Request) {
	var vms []model.VM
	if !readJSON(w, r, &vms) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmList = vms
	p.vmListVersion++
}

// VersionedDocument is the newest published configuration with its version.
type VersionedDocument struct {
	Version  model.Version  `json:"version"`
	Document model.Document `json:"document"`
}

func (p *Platform) handleGetDocument(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(VersionedDocument{Version: p.published.Version, Document: p.document})
}

func (p *Platform) handlePatch(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	patched, err := configurator.Apply(p.document, p.published.Version, patch)
	if err == nil {
		err = p.publish(p.published.Version+1, patched)
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

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if !f.ServeStale {
		p.servePublished()
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}

	return err == nil
}
