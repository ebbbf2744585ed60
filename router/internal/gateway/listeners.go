package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/timekeeper"
)

// Limits in force until a configuration is known.
var firstLimits = cataloguer.Limits{
	HeaderBytes:   64 << 10,
	HeaderTimeout: 5 * timekeeper.Second,
	IdleTimeout:   60 * timekeeper.Second,
}

// doors serves callers; each connection is held to the limits in force when it was accepted.
type doors struct {
	handler http.Handler
	limits  func() cataloguer.Limits

	mu      sync.Mutex
	current *door
	all     []*door
	closed  bool
}

type door struct {
	server *http.Server
	limits cataloguer.Limits
	conns  *handover
}

func newDoors(handler http.Handler, limits func() cataloguer.Limits) *doors {
	return &doors{handler: handler, limits: limits}
}

// serve accepts connections until the listener closes.
func (d *doors) serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(time.Millisecond)

			continue
		}
		if !d.hand(conn) {
			_ = conn.Close()
		}
	}
}

func (d *doors) hand(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	if limits := d.limits(); d.current == nil || d.current.limits != limits {
		d.current = d.open(limits, conn.LocalAddr())
		d.all = append(d.all, d.current)
	}

	return d.current.conns.give(conn)
}

func (d *doors) open(limits cataloguer.Limits, address net.Addr) *door {
	n := &door{limits: limits, conns: newHandover(address)}
	n.server = &http.Server{
		Handler:           d.handler,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          nil,
	}
	go func() { _ = n.server.Serve(n.conns) }()

	return n
}

// shutdown closes idle connections and waits for running requests.
func (d *doors) shutdown(ctx context.Context) error {
	d.mu.Lock()
	d.closed = true
	all := d.all
	d.mu.Unlock()
	var faults []error
	for _, n := range all {
		faults = append(faults, n.server.Shutdown(ctx))
	}

	return errors.Join(faults...)
}

// handover is a listener whose connections come from another one.
type handover struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func newHandover(address net.Addr) *handover {
	return &handover{conns: make(chan net.Conn), done: make(chan struct{}), address: address}
}

func (h *handover) give(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.done:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.done) })

	return nil
}

// Addr returns the address of the listener that the connections come from.
func (h *handover) Addr() net.Addr {
	return h.address
}

func readyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
		// A reader that has left does not need the rest.
		_, _ = fmt.Fprintf(w, "control_bytes_total %d\n", g.control.Total())
	})
}
