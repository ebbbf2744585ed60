package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused-after-crash"] = playRefusedAfterCrash }

const (
	// recovery is recovery-s of the site.
	recovery = 12 * time.Second
	// crashTime is how long runners that crash are down.
	crashTime = 5 * time.Second
	// draftPause and draftEvents make a draft last two seconds.
	draftPause  = 50 * time.Millisecond
	draftEvents = 40
)

// playRefusedAfterCrash has all runners of one domain crash once, while clients begin to use a new system prompt, and looks at what is
// served when they have long been back.
func playRefusedAfterCrash(w *world) (bool, error) {
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
	traffic.setPrompt(0x77aa0000)
	w.note("clients begin to use another system prompt")
	time.Sleep(1500 * time.Millisecond)
	faultAt := time.Now()
	if w.hasTrouble {
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

	mu     sync.Mutex
	prompt int
	all    []sent
}

func newTraffic(w *world) *traffic {
	return &traffic{world: w, done: make(chan struct{}), prompt: 0x5c1e0000}
}

func (t *traffic) setPrompt(prompt int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompt = prompt
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
	t.mu.Lock()
	prompt := t.prompt
	t.mu.Unlock()
	s := sent{at: time.Now()}
	c := call{
		gateway: t.world.gateways[n%4], method: http.MethodPost, path: fmt.Sprintf("/lohu930/%02x", n%200), attempt: fmt.Sprintf("9c41d07be2a3%04x", n),
		key: clientKey, deadline: 12 * time.Second, session: 1 + n%24, prompt: prompt, body: make([]byte, 12000),
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
