package settings

import (
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/timekeeper"
)

const (
	defaultMaxBodyBytes      = 4 << 20
	defaultDeadline          = 10 * timekeeper.Minute
	defaultReadTimeout       = 30 * timekeeper.Second
	defaultWriteStallTimeout = 30 * timekeeper.Second
	defaultShutdownGrace     = 10 * timekeeper.Minute
	maxBodyBytes             = 16 << 20
	maxDuration              = timekeeper.Hour
)

// Settings are the settings of the router, as read from its settings file.
type Settings struct {
	follower.Settings

	Listen       string
	MaxBodyBytes int
	// DefaultDeadline applies to requests that do not specify a deadline.
	DefaultDeadline timekeeper.Millis
	// ReadTimeout is how long a caller may take to send a request.
	ReadTimeout timekeeper.Millis
	// WriteStallTimeout is how long a caller may read nothing before its connection is closed (setting write-stall-ms).
	WriteStallTimeout timekeeper.Millis
	ShutdownGrace     timekeeper.Millis
}

// NewSettings returns the default settings.
func NewSettings() Settings {
	return Settings{
		Settings:          follower.NewSettings(),
		Listen:            "127.0.0.1:0",
		MaxBodyBytes:      defaultMaxBodyBytes,
		DefaultDeadline:   defaultDeadline,
		ReadTimeout:       defaultReadTimeout,
		WriteStallTimeout: defaultWriteStallTimeout,
		ShutdownGrace:     defaultShutdownGrace,
	}
}

// Options returns the options of the router's settings file; loading them writes to s.
func Options(s *Settings) []loader.Option {
	return append(follower.Options(&s.Settings), []loader.Option{
		{
			Name: "listen", Target: &s.Listen, Default: "127.0.0.1:0", Check: loader.Address(&s.Listen),
			Meaning: "Address that callers reach, behind the platform's balancer.",
		},
		{
			Name: "max-body-bytes", Target: &s.MaxBodyBytes, Default: "4194304", Unit: "bytes", AllowedValues: "1024 to 16777216",
			Check:   loader.Range(&s.MaxBodyBytes, 1024, maxBodyBytes),
			Meaning: "Largest request body.",
		},
		{
			Name: "default-deadline-ms", Target: &s.DefaultDeadline, Default: "600000", Unit: "ms", AllowedValues: "100 to 3600000",
			Check:   loader.Range(&s.DefaultDeadline, 100, maxDuration),
			Meaning: "Deadline of a request that does not specify one.",
		},
		{
			Name: "read-timeout-ms", Target: &s.ReadTimeout, Default: "30000", Unit: "ms", AllowedValues: "100 to 3600000",
			Check:   loader.Range(&s.ReadTimeout, 100, maxDuration),
			Meaning: "Longest time that a caller may take to send a request.",
		},
		{
			Name: "write-stall-ms", Target: &s.WriteStallTimeout, Default: "30000", Unit: "ms", AllowedValues: "100 to 3600000",
			Check:   loader.Range(&s.WriteStallTimeout, 100, maxDuration),
			Meaning: "Time after which a caller that reads nothing is cut off.",
		},
		{
			Name: "shutdown-grace-ms", Target: &s.ShutdownGrace, Default: "600000", Unit: "ms", AllowedValues: "0 to 3600000",
			Check:   loader.Range(&s.ShutdownGrace, 0, maxDuration),
			Meaning: "Longest wait for running requests at shutdown.",
		},
	}...)
}
