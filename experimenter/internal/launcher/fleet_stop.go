package launcher

import (
	"os"
)

// Stop shuts down routers, then sidecars, then stand-ins, and returns the first error.
func (f *Fleet) Stop() error {
	var first error
	all := f.RoutersAndSidecars()
	for _, p := range f.Endpoints {
		all = append(all, p)
	}
	all = append(all, f.Platform)
	for _, p := range all {
		if err := p.Stop(); err != nil && first == nil {
			first = err
		}
	}
	_ = os.RemoveAll(f.dir)

	return first
}
