package gateway

import (
	"fmt"
	"math"

	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/forwarder"
)

const (
	maxLogLinesPerSecond   = 65535
	maxMemoryMB            = 1 << 20
	maxCores               = 1024
	maxStoreReadsPerSecond = 1_000_000
)

// Settings are the settings of a gateway, as read from its settings file.
type Settings struct {
	Process     string
	Listen      string
	ReadyListen string
	// PeerListen is the address for gossip; it identifies the gateway to the others.
	PeerListen    string
	MetricsListen string
	Seeds         []string
	StoreAddress  string
	// StoreReadsPerSecond is how many calls all gateways together may send to the store.
	StoreReadsPerSecond int
	Domain              string
	// HeartbeatInterval is how often endpoints renew their entries in the store (setting heartbeat-ms).
	HeartbeatInterval timekeeper.Millis
	// RecoveryTime is how soon after a fault the process must be up to date again (setting contact-ms).
	RecoveryTime timekeeper.Millis
	// DrainTime is how soon a gateway must stop using an endpoint that it knows to leave or to be gone (setting drain-ms).
	DrainTime timekeeper.Millis
	// ConfigurationTime is how soon after its confirmation a change of the operators must be in force (setting config-apply-ms).
	ConfigurationTime timekeeper.Millis
	ShutdownGrace     timekeeper.Millis
	RetryWindow       timekeeper.Millis
	RetryRatio        float64
	// RetrySlack is the number of retries allowed in a window in addition to RetryRatio.
	RetrySlack float64
	// LoadMultiple is the largest load of an endpoint, as a multiple of the mean load of its service.
	LoadMultiple float64
	// LoadSpread lets this gateway choose by the loads to expect now and by random numbers, so that gateways do not choose alike.
	LoadSpread bool
	// Prioritizes is true if requests get the priorities of the configuration (setting prioritize).
	Prioritizes bool
	// ThrottlePlainServices is true if requests to services without an engine wait or are refused when these have no room.
	ThrottlePlainServices bool
	// PlacesByCost is true if requests avoid endpoints where they would miss their target latency (setting cost-placement).
	PlacesByCost      bool
	MemoryMB          int
	Cores             int
	LogLinesPerSecond int
}

// NewSettings returns the default settings.
func NewSettings() Settings {
	return Settings{
		HeartbeatInterval:     timekeeper.Second,
		RecoveryTime:          3 * timekeeper.Second,
		DrainTime:             2 * timekeeper.Second,
		ConfigurationTime:     2 * timekeeper.Second,
		ShutdownGrace:         10 * timekeeper.Second,
		RetryWindow:           10 * timekeeper.Second,
		RetryRatio:            0.1,
		LoadMultiple:          2,
		Prioritizes:           true,
		ThrottlePlainServices: true,
		MemoryMB:              256,
		Cores:                 1,
		LogLinesPerSecond:     200,
		StoreReadsPerSecond:   2000,
	}
}

// Options returns the options of a gateway's settings file; loading them writes to s.
func Options(s *Settings) []loader.Option {
	return append(addressOptions(s), append(durationOptions(s), limitOptions(s)...)...)
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
			Meaning: "Address of the readiness check for the platform's balancer.",
		},
		{
			Name: "peer-listen", Target: &s.PeerListen, Required: true, Check: loader.Address(&s.PeerListen),
			Meaning: "Address for gossip with other gateways; it also identifies this gateway.",
		},
		{
			Name: "metrics-listen", Target: &s.MetricsListen, Required: true, Check: loader.Address(&s.MetricsListen),
			Meaning: "Address of the metrics page.",
		},
		{Name: "seeds", Target: &s.Seeds, Meaning: "Peer addresses of gateways to contact first; they may be down."},
		{
			Name: "store-address", Target: &s.StoreAddress, Required: true, Check: loader.Address(&s.StoreAddress),
			Meaning: "Address of the platform's store.",
		},
		{Name: "domain", Target: &s.Domain, Required: true, Meaning: "Failure domain of this VM."},
	}
}

func durationOptions(s *Settings) []loader.Option {
	duration := func(name string, target *timekeeper.Millis, defaultValue, meaning string) loader.Option {
		return loader.Option{
			Name: name, Target: target, Unit: "ms", Default: defaultValue, AllowedValues: "1 to 3600000",
			Check: loader.Range(target, 1, timekeeper.Hour), Meaning: meaning, Round: math.Floor,
		}
	}

	return []loader.Option{
		duration("heartbeat-ms", &s.HeartbeatInterval, "1000", "How often endpoints renew their entries in the store."),
		duration("contact-ms", &s.RecoveryTime, "3000", "Time after a fault within which this process must be up to date again."),
		duration("drain-ms", &s.DrainTime, "2000", "Longest use of an endpoint after this process knows that it leaves or is gone."),
		duration("config-apply-ms", &s.ConfigurationTime, "2000", "Longest time until a confirmed change of the operators is in force."),
		duration("shutdown-grace-ms", &s.ShutdownGrace, "10000", "Longest wait for running requests at shutdown."),
		duration("retry-window-ms", &s.RetryWindow, "10000", "Window over which the retry budget is counted."),
	}
}

func limitOptions(s *Settings) []loader.Option {
	return []loader.Option{
		{Name: "retry-ratio", Target: &s.RetryRatio, Default: "0.1", Check: atLeast(&s.RetryRatio, 0), Meaning: "Retries allowed for each request of a service, over all gateways."},
		{Name: "retry-slack", Target: &s.RetrySlack, Default: "0", Check: atLeast(&s.RetrySlack, 0), Meaning: "Retries allowed in a window in addition to the ratio, over all gateways."},
		{Name: "load-multiple", Target: &s.LoadMultiple, Default: "2", Check: atLeast(&s.LoadMultiple, 1), Meaning: "Largest load of an endpoint, as a multiple of the mean load of its service."},
		{Name: "load-spread", Target: &s.LoadSpread, Default: "false", AllowedValues: "true, false", Meaning: "Whether requests are spread over endpoints by the loads to expect now, instead of the last known ones."},
		{
			Name: "prioritize", Target: &s.Prioritizes, Default: "true", AllowedValues: "true, false",
			Meaning: "Whether engines are told the priorities of routes and accounts, if these differ.",
		},
		{
			Name: "throttle-plain-services", Target: &s.ThrottlePlainServices, Default: "true", AllowedValues: "true, false",
			Meaning: "Whether requests to services without an engine wait, or are refused at once, when the service has no room for them.",
		},
		{
			Name: "cost-placement", Target: &s.PlacesByCost, Default: "false", AllowedValues: "true, false",
			Meaning: "Whether requests avoid endpoints where by the forecast their answers begin after the target latency.",
		},
		{
			Name: "store-reads-per-second", Target: &s.StoreReadsPerSecond, Default: "2000", AllowedValues: "1 to 1000000",
			Check:   loader.Range(&s.StoreReadsPerSecond, 1, maxStoreReadsPerSecond),
			Round:   math.Floor,
			Meaning: "Calls per second that the store serves to all gateways together.",
		},
		{
			Name: "memory-mb", Target: &s.MemoryMB, Default: "256", Unit: "MB", AllowedValues: "16 to 1048576",
			Check: loader.Range(&s.MemoryMB, 16, maxMemoryMB), Meaning: "Memory that this process may take.", Round: math.Floor,
		},
		{
			Name: "cores", Target: &s.Cores, Default: "1", AllowedValues: "1 to 1024",
			Check: loader.Range(&s.Cores, 1, maxCores), Meaning: "Cores that this process may use.", Round: math.Ceil,
		},
		{
			Name: "log-lines-per-second", Target: &s.LogLinesPerSecond, Default: "200", AllowedValues: "1 to 65535",
			Check:   loader.Range(&s.LogLinesPerSecond, 1, maxLogLinesPerSecond),
			Meaning: "Rate above which log lines are counted instead of written.",
		},
	}
}

// atLeast returns a check that a value is not below a minimum.
func atLeast(value *float64, minimum float64) func() error {
	return func() error {
		if *value < minimum {
			return fmt.Errorf("%w: must be at least %g", loader.ErrOutOfRange, minimum)
		}

		return nil
	}
}

// resumeLimits returns the limits for streams that callers resume.
func (s *Settings) resumeLimits() forwarder.ResumeLimits {
	return forwarder.ResumeLimits{Linger: s.DrainTime + s.RecoveryTime, MaxSilence: s.RecoveryTime}
}
