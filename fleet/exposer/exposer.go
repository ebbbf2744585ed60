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

// EndpointView is the state of one endpoint as known to the process. Running is the number of running requests, called
// busy in JSON; Age is the time in milliseconds since the load was observed.
type EndpointView struct {
	ID      model.EndpointID  `json:"id"`
	Service model.ServiceID   `json:"service"`
	Domain  model.DomainID    `json:"domain"`
	Running int               `json:"busy"`
	State   string            `json:"state"`
	Age     timekeeper.Millis `json:"age-ms"`
}

// FleetView is the state of the fleet as known to the process.
type FleetView struct {
	Process              string                          `json:"process"`
	ConfigurationVersion model.Version                   `json:"configuration-version"`
	IsReady              bool                            `json:"ready"`
	Domains              map[model.DomainID]model.Domain `json:"domains"`
	Endpoints            []EndpointView                  `json:"endpoints"`
	VMs                  []model.VM                      `json:"vms"`
}

// Exposer is the HTTP server on the operators' port of one process.
type Exposer struct {
	app      *fiber.App
	follower *follower.Follower
	process  string
	// IsReady reports whether the process accepts requests. It defaults to the readiness of the follower and may be
	// replaced before Serve.
	IsReady func() bool
	done    chan struct{}
}

// NewExposer returns the server of a process, with the routes /metrics, /healthz, /readyz and /fleet.
func NewExposer(process string, f *follower.Follower) *Exposer {
	x := &Exposer{app: fiber.New(), follower: f, process: process, IsReady: f.IsReady, done: make(chan struct{})}
	x.app.Get("/metrics", x.metrics)
	x.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	x.app.Get("/readyz", x.readyz)
	x.app.Get("/fleet", x.fleet)

	return x
}

// Handle adds a GET route.
func (x *Exposer) Handle(path string, handler fiber.Handler) {
	x.app.Get(path, handler)
}

// Serve accepts connections on a listener until Shutdown. It returns an error if the listener fails.
func (x *Exposer) Serve(l net.Listener) error {
	defer close(x.done)
	if err := x.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("exposer: serve operators' port of %s: %w", x.process, err)
	}

	return nil
}

// Shutdown shuts the server down and waits for running requests.
func (x *Exposer) Shutdown() error {
	if err := x.app.Shutdown(); err != nil {
		return fmt.Errorf("exposer: stop serving operators' port of %s: %w", x.process, err)
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
	if !x.IsReady() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}

	return c.SendString("ready\n")
}

func (x *Exposer) fleet(c fiber.Ctx) error {
	view := FleetView{Process: x.process, ConfigurationVersion: x.version(), IsReady: x.IsReady(), VMs: x.follower.VMs()}
	now := x.follower.Clock.Now()
	x.follower.WithView(func(v follower.View) {
		if v.Snapshot == nil {
			return
		}
		view.Domains = v.Snapshot.Fleet.Domains
		for i, id := range v.Snapshot.Endpoints {
			endpoint := v.Snapshot.Fleet.Endpoints[id]
			load := v.LoadTable.Get(i)
			view.Endpoints = append(view.Endpoints, EndpointView{
				ID: id, Service: endpoint.Service, Domain: endpoint.Domain, Running: load.Running,
				State: load.State.String(), Age: now - load.ObservedAt,
			})
		}
	})

	return c.JSON(view)
}
