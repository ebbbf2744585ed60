package standin3

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// heartbeat is how often runners write to the store.
const heartbeat = 1200 * time.Millisecond

// world holds what a case plays with.
type world struct {
	*record
	// isTroubled is false if the disruption is left out.
	isTroubled bool
	store      *store
	folder     string
	router     string
	gateways   []*gateway
	stopped    chan struct{}
}

func newWorld(router, recordPath string) (*world, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}

	return &world{
		record: r, isTroubled: os.Getenv("TROUBLE") != "0", store: s, folder: folder, router: router, stopped: make(chan struct{}),
	}, nil
}

// close ends all processes and removes what they have written.
func (w *world) close() {
	close(w.stopped)
	for _, g := range w.gateways {
		g.end()
	}
	_ = os.RemoveAll(w.folder)
}

// addRunner starts a runner and writes its entry again and again.
func (w *world) addRunner(id, service string, serve func(*call) bool) error {
	r, err := newRunner(id, service, serve)
	if err != nil {
		return err
	}
	w.store.put("servers/"+id, r.entry(0))
	go func() {
		for sequence := 1; ; sequence++ {
			select {
			case <-w.stopped:
				return
			case <-time.After(heartbeat):
				w.store.put("servers/"+id, r.entry(sequence))
			}
		}
	}()

	return nil
}

// addGateway starts a gateway in zone hn-a and waits until it is ready.
func (w *world) addGateway() (*gateway, error) {
	var seeds []string
	for _, other := range w.gateways {
		seeds = append(seeds, other.peer)
	}
	name := fmt.Sprintf("front-hn-a-%d", len(w.gateways)+1)
	g, err := newGateway(name, "hn-a", w.router, w.store.address, w.folder, seeds)
	if err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	w.write("%s starts: %s gateway --settings %s", name, filepath.Base(w.router), filepath.Base(g.settings))

	return g, g.start()
}

// reload tells a gateway that its settings file has changed.
func (w *world) reload(g *gateway) {
	w.write("%s gets SIGHUP", g.name)
	g.signal(syscall.SIGHUP)
}
