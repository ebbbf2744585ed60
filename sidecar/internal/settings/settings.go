package settings

import (
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/timekeeper"
)

const (
	defaultFirstTokenTarget  = 610 * timekeeper.Millis(1)
	defaultTokenGapTarget    = 57 * timekeeper.Millis(1)
	defaultStallTimeout      = 15 * timekeeper.Second
	defaultShutdownGrace     = 10 * timekeeper.Minute
	defaultMaxDirectoryChats = 20_000
	maxLatencyTarget         = timekeeper.Minute
	maxShutdownGrace         = timekeeper.Hour
	maxDirectoryChats        = 1_000_000
)

// Settings are the settings of the sidecar, as read from its settings file.
type Settings struct {
	follower.Settings

	Endpoint    string
	EndpointURL string
	// WorkListen is the address on which routers send requests (setting work-listen).
	WorkListen string
	// FirstTokenTarget and TokenGapTarget are the latencies above which the concurrency limit decreases.
	FirstTokenTarget timekeeper.Millis
	TokenGapTarget   timekeeper.Millis
	// StallTimeout is how long the endpoint may take for each server-sent event, or for a whole response that is not
	// streamed, before the response is given up.
	StallTimeout  timekeeper.Millis
	ShutdownGrace timekeeper.Millis
	// MaxDirectoryChats is the size of the index from chats to the endpoints that hold their prefixes (setting
	// directory-chats).
	MaxDirectoryChats int
}

// NewSettings returns the default settings.
func NewSettings() Settings {
	return Settings{
		Settings:          follower.NewSettings(),
		WorkListen:        "127.0.0.1:0",
		FirstTokenTarget:  defaultFirstTokenTarget,
		TokenGapTarget:    defaultTokenGapTarget,
		StallTimeout:      defaultStallTimeout,
		ShutdownGrace:     defaultShutdownGrace,
		MaxDirectoryChats: defaultMaxDirectoryChats,
	}
}

// Options returns the options of the sidecar's settings file; loading them writes to s.
func Options(s *Settings) []loader.Option {
	return append(follower.Options(&s.Settings), []loader.Option{
		{
			Name: "endpoint", Target: &s.Endpoint, Required: true, Check: loader.NotEmpty(&s.Endpoint),
			Meaning: "Id of the declared endpoint that this sidecar serves.",
		},
		{
			Name: "endpoint-url", Target: &s.EndpointURL, Required: true, Check: loader.URL(&s.EndpointURL),
			Meaning: "URL of the endpoint on this VM.",
		},
		{
			Name: "work-listen", Target: &s.WorkListen, Default: "127.0.0.1:0", Check: loader.Address(&s.WorkListen),
			Meaning: "Address on which routers send requests; the configuration must declare it for the endpoint.",
		},
		{
			Name: "first-token-target-ms", Target: &s.FirstTokenTarget, Default: "610", Unit: "ms", AllowedValues: "1 to 60000",
			Check:   loader.Range(&s.FirstTokenTarget, 1, maxLatencyTarget),
			Meaning: "Time to the first token above which the adaptive concurrency limit decreases.",
		},
		{
			Name: "token-gap-target-ms", Target: &s.TokenGapTarget, Default: "57", Unit: "ms", AllowedValues: "1 to 60000",
			Check:   loader.Range(&s.TokenGapTarget, 1, maxLatencyTarget),
			Meaning: "Time between tokens above which the adaptive concurrency limit decreases.",
		},
		{
			Name: "stall-timeout-ms", Target: &s.StallTimeout, Default: "15000", Unit: "ms", AllowedValues: "100 to 600000",
			Check:   loader.Range(&s.StallTimeout, 100, 10*timekeeper.Minute),
			Meaning: "Time for one event of a stream, or for a whole response that is not streamed, after which it is given up as incomplete.",
		},
		{
			Name: "shutdown-grace-ms", Target: &s.ShutdownGrace, Default: "600000", Unit: "ms", AllowedValues: "0 to 3600000",
			Check:   loader.Range(&s.ShutdownGrace, 0, maxShutdownGrace),
			Meaning: "Longest wait for running requests at shutdown.",
		},
		{
			Name: "directory-chats", Target: &s.MaxDirectoryChats, Default: "20000", Unit: "chats", AllowedValues: "1 to 1000000",
			Check:   loader.Range(&s.MaxDirectoryChats, 1, maxDirectoryChats),
			Meaning: "Maximum number of chats for which this sidecar records the endpoints that hold their prefixes.",
		},
	}...)
}
