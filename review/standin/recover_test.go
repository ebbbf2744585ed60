package review

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	faults := map[string]finalFault{
		"refused-after-both":  {killsGateways: true, crashesRunners: true},
		"refused-after-kill":  {killsGateways: true},
		"refused-after-crash": {crashesRunners: true},
	}
	for name, f := range faults {
		cases[name] = func(w *world) (bool, error) { return playFinalFault(w, f) }
	}
}

const (
	// recovery is recovery-s of the site.
	recovery = 12 * time.Second
	// crashTime is how long runners that crash are down.
	crashTime = 5 * time.Second
	// draftPause and draftEvents make a draft last two seconds.
	draftPause  = 50 * time.Millisecond
	draftEvents = 40
)

// finalFault says what strikes in the middle of the traffic.
type finalFault struct {
	killsGateways, crashesRunners bool
}

// playFinalFault has all gateways be killed and start again, and all runners of one domain crash once a second and a half after that,
// and looks at what is served when all have long been back.
func playFinalFault(w *world, f finalFault) (bool, error) {
	w.putConfiguration(7, draftRoute)
	answer := streamOf(draftEvents, draftPause, func(_ string, n int) string { return fmt.Sprintf("words %d", n) })
	start := func(boot int) ([]*runner, error) {
		var runners []*runner
		for n := range 6 {
			r, err := w.startRunner(fmt.Sprintf("i-%04x%04x", boot, n), zones[0], engines, 64, answer)
			if err != nil {
				return nil, err
			}
			runners = append(runners, r)
		}

		return runners, nil
	}
	runners, err := start(1)
	if err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	traffic := newTraffic(w)
	go traffic.run()
	time.Sleep(8 * time.Second)
	faultAt := time.Now()
	if w.hasTrouble && f.killsGateways {
		if err := w.killAllGateways(); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if w.hasTrouble && f.crashesRunners {
		for _, r := range runners {
			r.crash()
		}
		w.note("the runners of %s crash", zones[0])
		time.Sleep(crashTime)
		if _, err := start(2); err != nil {
			return false, err
		}
		w.note("the runners of %s are back", zones[0])
	}
	backAt := time.Now()
	time.Sleep(recovery + 10*time.Second)
	traffic.stop()

	return traffic.judge(faultAt, backAt), nil
}

// killAllGateways kills all gateways at once and starts them again a second later.
func (w *world) killAllGateways() error {
	for _, g := range w.gateways {
		g.kill()
	}
	w.note("all gateways are killed")
	time.Sleep(time.Second)
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.waitReady(5 * time.Second); err != nil {
			return err
		}
	}
	w.note("all gateways are back")

	return nil
}

// sent is a request of the traffic and what became of it.
type sent struct {
	at     time.Time
	status int
	served bool
}

// traffic is a steady stream of drafts, ten a second.
type traffic struct {
	world *world
	done  chan struct{}
	wait  sync.WaitGroup

	mu  sync.Mutex
	all []sent
}

func newTraffic(w *world) *traffic {
	return &traffic{world: w, done: make(chan struct{})}
}

func (t *traffic) run() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.done:
			return
		case <-tick.C:
			t.wait.Go(func() { t.send(n) })
		}
	}
}

func (t *traffic) send(n int) {
	s := sent{at: time.Now()}
	c := call{
		gateway: t.world.gateways[n%4], method: http.MethodPost, path: fmt.Sprintf("/lohu930/%02x", n%200), attempt: fmt.Sprintf("9c41d07be2a3%04x", n),
		key: clientKey, deadline: 12 * time.Second, session: 1 + n%24, body: make([]byte, 12000),
	}
	a := c.do()
	list, _ := events(a.body)
	s.status, s.served = a.status, a.status == http.StatusOK && a.isComplete && len(list) == draftEvents
	if !s.served {
		t.world.note("request %s: status %d, complete %v, Retry-After %q, %q", c.attempt, a.status, a.isComplete, a.header.Get("Retry-After"), a.body)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, s)
}

func (t *traffic) stop() {
	close(t.done)
	t.wait.Wait()
}

// judge reports whether less than a quarter of the requests was served that were sent later than the recovery time after the machines
// were back, though a quarter or more was before the fault.
func (t *traffic) judge(faultAt, backAt time.Time) bool {
	var before, servedBefore, after, servedAfter int
	for _, s := range t.all {
		if s.at.Before(faultAt.Add(-3 * time.Second)) {
			before++
			if s.served {
				servedBefore++
			}
		}
		if s.at.After(backAt.Add(recovery)) {
			after++
			if s.served {
				servedAfter++
			}
		}
	}
	t.world.note("RECOVER: served %d of %d before the fault, %d of %d later than %v after the machines are back", servedBefore, before, servedAfter, after, recovery)

	return 4*servedBefore >= before && 4*servedAfter < after
}
