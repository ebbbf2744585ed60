package standin2

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contact is how long a machine has to have been calm to be in touch (contact-ms).
	contact = 3 * time.Second
	// maxLateRetries is the number of retries that may reach servers later than contact after the third crash.
	maxLateRetries = 3
	// deadlyDown is how long a crashed server is down.
	deadlyDown = 2 * time.Second
	// killDown is how long the gateways are down after they were killed.
	killDown = 500 * time.Millisecond
)

// deadlyRequest comes again with the same path, caller and body; each server that begins to run it crashes.
const deadlyRequest = "/full-transcript/7c"

// deadlyPlay is a request that crashes servers, with what the servers have seen of it.
type deadlyPlay struct {
	store    *store
	gateways []*gateway
	started  []time.Time

	mu      sync.Mutex
	crashes []time.Time
	late    int
	boots   int
	// lost is the number of other requests that have got no whole answer although they were sent on.
	lost int
}

// run serves a request at a server, or crashes it. A crashed server comes back with another ID.
func (p *deadlyPlay) run(x *exchange) {
	if x.request.URL.Path != deadlyRequest {
		x.stream(10, 20*time.Millisecond)

		return
	}
	from := p.sender(x.id)
	p.mu.Lock()
	now := time.Now()
	isInTouch := now.Sub(p.started[from]) > contact
	isLate := len(p.crashes) >= 3 && now.Sub(p.crashes[2]) > contact
	p.crashes = append(p.crashes, now)
	if isLate && isInTouch {
		p.late++
	}
	p.boots++
	boot := p.boots
	record("crash %d: the request %s of %s crashes server %s (machine in touch: %v, late: %v)", len(p.crashes), x.id, p.gateways[from].name, x.server.id, isInTouch, isLate)
	p.mu.Unlock()
	old := x.server.id
	x.server.crash()
	go func() {
		time.Sleep(deadlyDown)
		x.server.mu.Lock()
		x.server.id = fmt.Sprintf("i-02d9e6%02d", boot)
		x.server.mu.Unlock()
		x.server.start()
		p.store.put("servers/"+x.server.id, x.server.entry(1, "ready", 0))
		time.Sleep(3*heartbeat - deadlyDown)
		p.store.delete("servers/" + old)
	}()
}

// sender returns the number of the gateway to which the client has sent an attempt; it stands at the end of the ID.
func (p *deadlyPlay) sender(id string) int {
	return int(id[len(id)-1] - '0')
}

// send sends the deadly request to a gateway.
func (p *deadlyPlay) send(gateway int) {
	id := newID()[:15] + fmt.Sprint(gateway)
	header := prompt(999, "d7d7d7d7", 10000, 1300, 400)
	r := p.gateways[gateway].call(http.MethodPost, deadlyRequest, id, 12*time.Second, header, "deadly")
	record("the deadly request %s is answered by %s: status %d %s", id, p.gateways[gateway].name, r.status, strings.TrimSpace(string(r.body)))
}

// killAll kills all gateways at the same moment and starts them again.
func (p *deadlyPlay) killAll() {
	record("all gateways are killed")
	for _, g := range p.gateways {
		g.kill()
	}
	time.Sleep(killDown)
	p.startAll()
}

func (p *deadlyPlay) startAll() {
	for n, g := range p.gateways {
		g.start()
		p.mu.Lock()
		p.started[n] = time.Now()
		p.mu.Unlock()
	}
	for _, g := range p.gateways {
		g.awaitReady()
	}
}

// deadly: all gateways are killed, twice, while a request that crashes servers comes again and again.
func deadly() {
	s := newStore()
	d := s.open()
	s.put("op/config", configuration(3, route("full-transcript", "stream", "scribe-llm", 12000, 800, 1, false)))
	p := &deadlyPlay{store: s, started: make([]time.Time, 4)}
	for n := range 12 {
		sv := &server{id: fmt.Sprintf("i-7f3a91%02d", n), service: "scribe-llm", zone: []string{"hn-a", "hn-b", "hn-c", "hn-d"}[n%4], version: "v1", slots: slotsOf["scribe-llm"], serve: p.run}
		sv.start()
		s.put("servers/"+sv.id, sv.entry(1, "ready", 0))
	}
	p.gateways = newGateways(folder, []string{"hn-a", "hn-b", "hn-c", "hn-d"}, func(int) string { return d.addr })
	p.startAll()
	time.Sleep(contact)
	begin := time.Now()
	done := make(chan struct{})
	var w sync.WaitGroup
	w.Go(func() { p.sendOthers(done) })
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	for round, first := range []float64{1, 8.9, 16.8} {
		if round > 0 && hasTrouble {
			at(first - 3.9)
			p.killAll()
		}
		for n := range 5 {
			at(first + 0.6*float64(n))
			p.send(n % 4)
		}
	}
	close(done)
	w.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	broken := 0
	if p.late > maxLateRetries {
		broken = 1
	}
	conclude("BUDGET", broken, fmt.Sprintf("%d crashes; %d retries reached servers from machines in touch later than %v after the third crash, %d allowed; %d other requests lost with the servers",
		len(p.crashes), p.late, contact, maxLateRetries, p.lost))
}

// sendOthers sends other requests to all gateways until done is closed.
func (p *deadlyPlay) sendOthers(done chan struct{}) {
	var w sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-done:
			w.Wait()

			return
		case <-time.After(50 * time.Millisecond):
		}
		w.Go(func() {
			id := newID()
			r := p.gateways[n%4].call(http.MethodPost, "/full-transcript/2f", id, 12*time.Second, prompt(n%28, id, 10000, 1300, 400), "b")
			if r.status == 0 || r.status == http.StatusServiceUnavailable || r.err == nil && r.status == http.StatusOK {
				return
			}
			record("another request %s is lost: status %d, error %v", id, r.status, r.err)
			p.mu.Lock()
			p.lost++
			p.mu.Unlock()
		})
	}
}
