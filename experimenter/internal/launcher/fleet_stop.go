package launcher

import (
	"os"
)

// Stop ends routers, then sidecars, then stand-ins, and returns the first unclean end.
func (f *Fleet) Stop() error {
	var first error
	all := f.Running()
	for _, p := range f.Endpoints {
		all = append(all, p)
	}
	all = append(all, f.Platform)
	for _, p := range all {
		if err := p.Stop(); err != nil && first == nil {
			first = err
		}
	}
	_ = os.RemoveAll(f.folder)

	return first
}
