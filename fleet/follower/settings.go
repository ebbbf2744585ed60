package follower

import (
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/model"
)

// Default and limits of Settings.ControlBytesPerSecond.
const (
	DefaultControlBytesPerSecond = 8_000

	minControlBytesPerSecond = 1_000
	maxControlBytesPerSecond = 10_000_000
)

// Settings holds the settings that every process reads from its settings file.
type Settings struct {
	Process               string
	Domain                string
	Token                 string
	ConfigurationService  string
	VMList                string
	PeerListen            string
	OperatorListen        string
	Collector             string
	ControlBytesPerSecond int
}

// NewSettings returns the default settings.
func NewSettings() Settings {
	return Settings{
		PeerListen:            "127.0.0.1:0",
		OperatorListen:        "127.0.0.1:0",
		ControlBytesPerSecond: DefaultControlBytesPerSecond,
	}
}

// Options returns the options that read the settings file into s.
func Options(s *Settings) []loader.Option {
	return []loader.Option{
		{
			Name: "process", Target: &s.Process, Required: true, Check: loader.NotEmpty(&s.Process),
			Meaning: "Name of this process, the same as the id of its VM in the VM list.",
		},
		{
			Name: "domain", Target: &s.Domain, Required: true, Check: loader.NotEmpty(&s.Domain),
			Meaning: "Failure domain that this process runs in.",
		},
		{
			Name: "token", Target: &s.Token, Required: true, Check: loader.NotEmpty(&s.Token),
			Meaning: "Token that authenticates this process to other processes; the configuration holds its SHA-256.",
		},
		{
			Name: "configuration-service", Target: &s.ConfigurationService, Required: true,
			Check: loader.URL(&s.ConfigurationService), Meaning: "URL of the platform's configuration service.",
		},
		{
			Name: "vm-list", Target: &s.VMList, Required: true, Check: loader.URL(&s.VMList),
			Meaning: "URL of the platform's VM list.",
		},
		{
			Name: "peer-listen", Target: &s.PeerListen, Default: "127.0.0.1:0", Check: loader.Address(&s.PeerListen),
			Meaning: "Address for exchanges with other processes; port 0 lets the kernel choose.",
		},
		{
			Name: "operator-listen", Target: &s.OperatorListen, Default: "127.0.0.1:0",
			Check:   loader.Address(&s.OperatorListen),
			Meaning: "Address of metrics, health and the fleet view.",
		},
		{
			Name: "collector", Target: &s.Collector, Meaning: "URL of an OTLP collector for traces; off when empty.",
		},
		{
			Name: "control-bytes-per-second", Target: &s.ControlBytesPerSecond, Default: "8000", Unit: "bytes/s",
			AllowedValues: "1000 to 10000000",
			Check:         loader.Range(&s.ControlBytesPerSecond, minControlBytesPerSecond, maxControlBytesPerSecond),
			Meaning:       "Control traffic above which the next exchange is delayed.",
		},
	}
}

// VM returns the entry that the VM list is expected to hold for this process.
func (s *Settings) VM(role model.Role) model.VM {
	return model.VM{ID: s.Process, Role: role, Domain: model.DomainID(s.Domain), State: model.VMLive}
}
