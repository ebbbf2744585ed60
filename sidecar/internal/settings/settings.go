package settings

import (
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/timekeeper"
)

const (
	defaultFirstToken = 610 * timekeeper.Millis(1)
	defaultTokenGap   = 57 * timekeeper.Millis(1)
	defaultStall      = 15 * timekeeper.Second
	defaultGrace      = 10 * timekeeper.Minute
	defaultDirectory  = 20_000
	maxLatency        = timekeeper.Minute
	maxGrace          = timekeeper.Hour
	maxDirectory      = 1_000_000
)

// Settings are what the sidecar learns from its settings file.
type Settings struct {
	follower.Settings

	Endpoint       string
	EndpointURL    string
	WorkListen     string
	FirstToken     timekeeper.Millis
	TokenGap       timekeeper.Millis
	Stall          timekeeper.Millis
	ShutdownGrace  timekeeper.Millis
	DirectoryChats int
}

// NewSettings returns settings with defaults filled in.
func NewSettings() Settings {
	return Settings{
		Settings:       follower.NewSettings(),
		WorkListen:     "127.0.0.1:0",
		FirstToken:     defaultFirstToken,
		TokenGap:       defaultTokenGap,
		Stall:          defaultStall,
		ShutdownGrace:  defaultGrace,
		DirectoryChats: defaultDirectory,
	}
}

// Options returns the settings table of the sidecar.
func Options(s *Settings) []loader.Option {
	return append(follower.Options(&s.Settings), []loader.Option{
		{
			Name: "endpoint", Target: &s.Endpoint, Required: true, Check: loader.NotEmpty(&s.Endpoint),
			Meaning: "Id of the declared endpoint that this sidecar stands before.",
		},
		{
			Name: "endpoint-url", Target: &s.EndpointURL, Required: true, Check: loader.URL(&s.EndpointURL),
			Meaning: "URL of the endpoint on this VM.",
		},
		{
			Name: "work-listen", Target: &s.WorkListen, Default: "127.0.0.1:0", Check: loader.Address(&s.WorkListen),
			Meaning: "Address that routers send work to; the configuration declares it.",
		},
		{
			Name: "first-token-target-ms", Target: &s.FirstToken, Default: "610", Unit: "ms", AllowedValues: "1 to 60000",
			Check:   loader.Range(&s.FirstToken, 1, maxLatency),
			Meaning: "First-token latency above which the learnt limit falls.",
		},
		{
			Name: "token-gap-target-ms", Target: &s.TokenGap, Default: "57", Unit: "ms", AllowedValues: "1 to 60000",
			Check:   loader.Range(&s.TokenGap, 1, maxLatency),
			Meaning: "Latency between tokens above which the learnt limit falls.",
		},
		{
			Name: "stall-timeout-ms", Target: &s.Stall, Default: "15000", Unit: "ms", AllowedValues: "100 to 600000",
			Check:   loader.Range(&s.Stall, 100, 10*timekeeper.Minute),
			Meaning: "Silence of the endpoint after which an answer is given up as incomplete.",
		},
		{
			Name: "shutdown-grace-ms", Target: &s.ShutdownGrace, Default: "600000", Unit: "ms", AllowedValues: "0 to 3600000",
			Check:   loader.Range(&s.ShutdownGrace, 0, maxGrace),
			Meaning: "Longest wait for running requests at shutdown.",
		},
		{
			Name: "directory-chats", Target: &s.DirectoryChats, Default: "20000", Unit: "chats", AllowedValues: "1 to 1000000",
			Check:   loader.Range(&s.DirectoryChats, 1, maxDirectory),
			Meaning: "How many chats this sidecar remembers the holders of.",
		},
	}...)
}
