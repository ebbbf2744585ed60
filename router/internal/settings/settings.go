package settings

import (
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/timekeeper"
)

const (
	defaultBody     = 4 << 20
	defaultDeadline = 10 * timekeeper.Minute
	defaultRead     = 30 * timekeeper.Second
	defaultStall    = 30 * timekeeper.Second
	defaultGrace    = 10 * timekeeper.Minute
	maxBody         = 16 << 20
	maxSpan         = timekeeper.Hour
)

// Settings are what the router learns from its settings file.
type Settings struct {
	follower.Settings

	Listen        string
	MaxBodyBytes  int
	Deadline      timekeeper.Millis
	ReadTimeout   timekeeper.Millis
	WriteStall    timekeeper.Millis
	ShutdownGrace timekeeper.Millis
}

// NewSettings returns settings with defaults filled in.
func NewSettings() Settings {
	return Settings{
		Settings:      follower.NewSettings(),
		Listen:        "127.0.0.1:0",
		MaxBodyBytes:  defaultBody,
		Deadline:      defaultDeadline,
		ReadTimeout:   defaultRead,
		WriteStall:    defaultStall,
		ShutdownGrace: defaultGrace,
	}
}

// Options returns the settings table of the router.
func Options(s *Settings) []loader.Option {
	return append(follower.Options(&s.Settings), []loader.Option{
		{
			Name: "listen", Target: &s.Listen, Default: "127.0.0.1:0", Check: loader.Address(&s.Listen),
			Meaning: "Address that callers reach, behind the platform's balancer.",
		},
		{
			Name: "max-body-bytes", Target: &s.MaxBodyBytes, Default: "4194304", Unit: "bytes", AllowedValues: "1024 to 16777216",
			Check:   loader.Range(&s.MaxBodyBytes, 1024, maxBody),
			Meaning: "Largest body of a caller.",
		},
		{
			Name: "default-deadline-ms", Target: &s.Deadline, Default: "600000", Unit: "ms", AllowedValues: "100 to 3600000",
			Check:   loader.Range(&s.Deadline, 100, maxSpan),
			Meaning: "Deadline of a request that names none.",
		},
		{
			Name: "read-timeout-ms", Target: &s.ReadTimeout, Default: "30000", Unit: "ms", AllowedValues: "100 to 3600000",
			Check:   loader.Range(&s.ReadTimeout, 100, maxSpan),
			Meaning: "Longest time that a caller may take to send a request.",
		},
		{
			Name: "write-stall-ms", Target: &s.WriteStall, Default: "30000", Unit: "ms", AllowedValues: "100 to 3600000",
			Check:   loader.Range(&s.WriteStall, 100, maxSpan),
			Meaning: "Time after which a caller that reads nothing is cut off.",
		},
		{
			Name: "shutdown-grace-ms", Target: &s.ShutdownGrace, Default: "600000", Unit: "ms", AllowedValues: "0 to 3600000",
			Check:   loader.Range(&s.ShutdownGrace, 0, maxSpan),
			Meaning: "Longest wait for running requests at shutdown.",
		},
	}...)
}
