package launcher

import (
	"fmt"
	"strings"

	"cardamompulley/fleet/model"
)

// launchVersion is the configuration version that Launch publishes. Version 1 of the platform stand-in is empty.
const launchVersion = model.Version(2)

// waitForConfiguration waits until every router and sidecar has the configuration that Launch published. Readiness is not
// enough, because a process can be ready with the empty version 1.
func (f *Fleet) waitForConfiguration() error {
	want := fmt.Sprintf("configuration_version %d", launchVersion)
	for _, p := range f.RoutersAndSidecars() {
		hasVersion := func() bool {
			text, err := Fetch("http://" + p.Address("operator") + "/metrics")

			return err == nil && strings.Contains(text, want)
		}
		if err := Poll(hasVersion); err != nil {
			return fmt.Errorf("%w: %s", ErrNotReady, p.Name)
		}
	}

	return nil
}

// WaitUntilReady waits until every router and sidecar accepts work. It returns ErrNotReady on timeout.
func (f *Fleet) WaitUntilReady() error {
	for _, p := range f.RoutersAndSidecars() {
		if err := Poll(func() bool { return isReady(p) }); err != nil {
			return fmt.Errorf("%w: %s", ErrNotReady, p.Name)
		}
	}

	return nil
}

// RoutersAndSidecars returns the processes of all routers and sidecars.
func (f *Fleet) RoutersAndSidecars() []*Process {
	processes := append([]*Process{}, f.Routers...)
	for _, p := range f.Sidecars {
		processes = append(processes, p)
	}

	return processes
}
