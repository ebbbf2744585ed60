package exposer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// EndpointView is what a process knows of one endpoint.
type EndpointView struct {
	ID      model.EndpointID  `json:"id"`
	Service model.ServiceID   `json:"service"`
	Domain  model.DomainID    `json:"domain"`
	Busy    int               `json:"busy"`
	State   string            `json:"state"`
	Age     timekeeper.Millis `json:"age-ms"`
}

// FleetView is what a process knows of the fleet.
type FleetView struct {
	Process   string                          `json:"process"`
	Version   model.Version                   `json:"configuration-version"`
	Ready     bool                            `json:"ready"`
	Domains   map[model.DomainID]model.Domain `json:"domains"`
	Endpoints []EndpointView                  `json:"endpoints"`
	VMs       []model.VM                      `json:"vms"`
}

// Exposer is the operators' server of one process.
type Exposer struct {
	app      *fiber.App
	follower *follower.Follower
	process  string
	// Ready tells whether the process takes work.
	Ready func() bool
	done  chan struct{}
}

// NewExposer returns the operators' server of a process.
func NewExposer(process string, f *follower.Follower) *Exposer {
	x := &Exposer{app: fiber.New(), follower: f, process: process, Ready: f.Ready, done: make(chan struct{})}
	x.app.Get("/metrics", x.metrics)
	x.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	x.app.Get("/readyz", x.readyz)
	x.app.Get("/fleet", x.fleet)

	return x
}

// Handle adds a page to the operators' server.
func (x *Exposer) Handle(path string, handler fiber.Handler) {
	x.app.Get(path, handler)
}

// Serve answers on a listener until Stop.
func (x *Exposer) Serve(l net.Listener) error {
	defer close(x.done)
	if err := x.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("exposer: %s: %w", x.process, err)
	}

	return nil
}

// Stop ends the server.
func (x *Exposer) Stop() error {
	if err := x.app.Shutdown(); err != nil {
		return fmt.Errorf("exposer: %s: %w", x.process, err)
	}

	return nil
}

func (x *Exposer) metrics(c fiber.Ctx) error {
	c.Set("Content-Type", "text/plain; version=0.0.4")
	w := c.Response().BodyWriter()
	metrics.WritePrometheus(w, true)
	_, err := fmt.Fprintf(w, "control_bytes_total %d\nconfiguration_version %d\n",
		x.follower.ControlTraffic.Total(), x.version())
	if err != nil {
		return fmt.Errorf("exposer: metrics: %w", err)
	}

	return nil
}

func (x *Exposer) version() model.Version {
	if s := x.follower.Snapshot(); s != nil {
		return s.Version
	}

	return 0
}

func (x *Exposer) readyz(c fiber.Ctx) error {
	if !x.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}

	return c.SendString("ready\n")
}

func (x *Exposer) fleet(c fiber.Ctx) error {
	view := FleetView{Process: x.process, Version: x.version(), Ready: x.Ready(), VMs: x.follower.VMs()}
	now := x.follower.Clock.Now()
	x.follower.WithView(func(v follower.View) {
		if v.Snapshot == nil {
			return
		}
		view.Domains = v.Snapshot.Fleet.Domains
		for i, id := range v.Snapshot.Endpoints {
			e := v.Snapshot.Fleet.Endpoints[id]
			l := v.LoadTable.At(i)
			view.Endpoints = append(view.Endpoints, EndpointView{
				ID: id, Service: e.Service, Domain: e.Domain, Busy: l.Busy, State: l.State.String(), Age: now - l.At,
			})
		}
	})

	return c.JSON(view)
}
