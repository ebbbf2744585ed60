package launcher

import (
	"fmt"
	"strings"

	"cardamompulley/fleet/model"
)

// publishedVersion is the configuration version that the launcher itself publishes, after the platform's empty first one.
const publishedVersion = model.Version(2)

// awaitPublished returns when every process holds the published configuration: a process may be ready on the empty one.
func (f *Fleet) awaitPublished() error {
	want := fmt.Sprintf("configuration_version %d", publishedVersion)
	for _, p := range f.Running() {
		holds := func() bool {
			text, err := Fetch("http://" + p.Address("operator") + "/metrics")

			return err == nil && strings.Contains(text, want)
		}
		if err := Await(holds); err != nil {
			return fmt.Errorf("%w: %s", ErrNotReady, p.Name)
		}
	}

	return nil
}

// AwaitReady waits until every process takes work.
func (f *Fleet) AwaitReady() error {
	for _, p := range f.Running() {
		if err := Await(func() bool { return isReady(p) }); err != nil {
			return fmt.Errorf("%w: %s", ErrNotReady, p.Name)
		}
	}

	return nil
}

// Running returns every router and sidecar.
func (f *Fleet) Running() []*Process {
	processes := append([]*Process{}, f.Routers...)
	for _, p := range f.Sidecars {
		processes = append(processes, p)
	}

	return processes
}
