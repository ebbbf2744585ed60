package gateway

import (
	"fmt"

	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/timekeeper"
)

const (
	maxPort   = 65535
	maxMemory = 1 << 20
	maxCores  = 1024
)

// Settings are what a gateway learns from its settings file.
type Settings struct {
	Process       string
	Listen        string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	Seeds         []string
	Store         string
	Domain        string
	// Heartbeat is how often endpoints renew their entries in the store.
	Heartbeat timekeeper.Millis
	// Contact is the span after which operators hold a process for in touch again.
	Contact      timekeeper.Millis
	Grace        timekeeper.Millis
	RetryWindow  timekeeper.Millis
	RetryRatio   float64
	RetrySlack   float64
	LoadMultiple float64
	MemoryMB     int
	Cores        int
	LogLines     int
}

// NewSettings returns settings with defaults filled in.
func NewSettings() Settings {
	return Settings{
		Heartbeat:    timekeeper.Second,
		Contact:      3 * timekeeper.Second,
		Grace:        10 * timekeeper.Second,
		RetryWindow:  10 * timekeeper.Second,
		RetryRatio:   0.1,
		LoadMultiple: 2,
		MemoryMB:     256,
		Cores:        1,
		LogLines:     200,
	}
}

// Options returns the settings table of a gateway.
func Options(s *Settings) []loader.Option {
	return append(addressOptions(s), append(spanOptions(s), figureOptions(s)...)...)
}

func addressOptions(s *Settings) []loader.Option {
	return []loader.Option{
		{Name: "process", Target: &s.Process, Required: true, Meaning: "Name of this process in logs."},
		{
			Name: "listen", Target: &s.Listen, Required: true, Check: loader.Address(&s.Listen),
			Meaning: "Address that callers reach, behind the platform's balancer.",
		},
		{
			Name: "ready-listen", Target: &s.ReadyListen, Required: true, Check: loader.Address(&s.ReadyListen),
			Meaning: "Address at which the balancer asks whether callers may come.",
		},
		{
			Name: "peer-listen", Target: &s.PeerListen, Required: true, Check: loader.Address(&s.PeerListen),
			Meaning: "Address at which other gateways trade with this one; it names the gateway.",
		},
		{
			Name: "metrics-listen", Target: &s.MetricsListen, Required: true, Check: loader.Address(&s.MetricsListen),
			Meaning: "Address of the metrics page.",
		},
		{Name: "seeds", Target: &s.Seeds, Meaning: "Peer addresses of gateways to ask first; they may be down."},
		{
			Name: "store-address", Target: &s.Store, Required: true, Check: loader.Address(&s.Store),
			Meaning: "Address of the platform's store.",
		},
		{Name: "domain", Target: &s.Domain, Required: true, Meaning: "Failure domain of this VM."},
	}
}

func spanOptions(s *Settings) []loader.Option {
	span := func(name string, target *timekeeper.Millis, standard, meaning string) loader.Option {
		return loader.Option{
			Name: name, Target: target, Unit: "ms", Default: standard, AllowedValues: "1 to 3600000",
			Check: loader.Range(target, 1, timekeeper.Hour), Meaning: meaning,
		}
	}

	return []loader.Option{
		span("heartbeat-ms", &s.Heartbeat, "1000", "How often endpoints renew their entries in the store."),
		span("contact-ms", &s.Contact, "3000", "Span after a fault within which a process must be up to date again."),
		span("shutdown-grace-ms", &s.Grace, "10000", "Longest wait for running requests at shutdown."),
		span("retry-window-ms", &s.RetryWindow, "10000", "Window over which the retry budget is counted."),
	}
}

func figureOptions(s *Settings) []loader.Option {
	return []loader.Option{
		{Name: "retry-ratio", Target: &s.RetryRatio, Default: "0.1", Check: atLeast(&s.RetryRatio, 0), Meaning: "Retries allowed for each request of a service, over all gateways."},
		{Name: "retry-slack", Target: &s.RetrySlack, Default: "0", Check: atLeast(&s.RetrySlack, 0), Meaning: "Retries allowed in a window beside the ratio, over all gateways."},
		{Name: "load-multiple", Target: &s.LoadMultiple, Default: "2", Check: atLeast(&s.LoadMultiple, 1), Meaning: "Largest multiple of the mean load of a service."},
		{
			Name: "memory-mb", Target: &s.MemoryMB, Default: "256", Unit: "MB", AllowedValues: "16 to 1048576",
			Check: loader.Range(&s.MemoryMB, 16, maxMemory), Meaning: "Memory that this process may take.",
		},
		{
			Name: "cores", Target: &s.Cores, Default: "1", AllowedValues: "1 to 1024",
			Check: loader.Range(&s.Cores, 1, maxCores), Meaning: "Cores that this process may use.",
		},
		{
			Name: "log-lines-per-second", Target: &s.LogLines, Default: "200", AllowedValues: "1 to 65535",
			Check: loader.Range(&s.LogLines, 1, maxPort), Meaning: "Rate above which log lines are counted instead of written.",
		},
	}
}

// atLeast checks that a figure is not below a bound.
func atLeast(f *float64, least float64) func() error {
	return func() error {
		if *f < least {
			return fmt.Errorf("%w: must be at least %g", loader.ErrOutOfRange, least)
		}

		return nil
	}
}
