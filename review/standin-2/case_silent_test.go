package standin2

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the sheet: drain-ms, config-apply-ms and contact-ms.
const (
	drainTime   = 2000 * time.Millisecond
	applyTime   = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
)

const (
	// silentCalm is how long the gateways serve before the silence, which comes at any moment of silentSpread after that.
	silentCalm   = 5 * time.Second
	silentSpread = 1800 * time.Millisecond
	// changeAfter is the time from the silence to the change in the store.
	changeAfter = 500 * time.Millisecond
	// servedOn is how long a server goes on serving after the removal of its entry: drain-ms and a little longer.
	servedOn = drainTime + 900*time.Millisecond
	// silentTail is how long clients go on after that.
	silentTail = 3 * time.Second
	// silentClients is the number of clients of a gateway, silentPause the mean time between two requests of one, silentWork that of a server for one.
	silentClients  = 6
	silentPause    = 60 * time.Millisecond
	silentWork     = 60 * time.Millisecond
	silentDeadline = 600 * time.Millisecond
)

// departed plays a server that leaves as planned shortly after the open connections to the store have gone silent: its entry is removed, it
// serves for its time, and exits.
func departed() {
	p := newSilentPlay()
	p.silence()
	gone := p.servers[0]
	p.store.delete("servers/" + gone.id)
	record("the store removes the entry of server %s, which goes on serving for %v", gone.id, servedOn)
	p.setChange(time.Now(), func(r seenRequest) bool { return r.server == gone.id && r.arrivedAt.Sub(p.changedAt) > drainTime })
	time.Sleep(servedOn)
	gone.crash()
	time.Sleep(silentTail)
	p.end()
	conclude("DRAIN", p.late, fmt.Sprintf(
		"%d requests reached the server later than %v after the removal of its entry, sent by gateways in touch, the last of them %d ms after it; "+
			"%d such requests were lost with the server; %d answered with success in all, %d not",
		p.late, drainTime, p.latest.Milliseconds(), p.lost, p.served, p.unserved))
}

// dropped plays an operator who drops a route shortly after the open connections to the store have gone silent.
func dropped() {
	p := newSilentPlay()
	p.silence()
	p.store.put("op/config", configuration(4, route("title-tag", "stream", "scribe-llm", 3000, 500, 1, false)))
	record("the operator drops the route")
	p.setChange(time.Now(), func(r seenRequest) bool { return r.sentAt.Sub(p.changedAt) > applyTime })
	time.Sleep(servedOn + silentTail)
	p.end()
	conclude("CONFIG", p.late, fmt.Sprintf(
		"%d requests of the dropped route ran, sent to gateways in touch later than %v after the confirmation, the last of them %d ms after it",
		p.late, applyTime, p.latest.Milliseconds()))
}

// seenRequest is a request that has reached a server.
type seenRequest struct {
	server            string
	sentAt, arrivedAt time.Time
}

// silentPlay is a deployment of four gateways and four servers of a plain service, with clients that send one request after the other.
type silentPlay struct {
	store    *store
	servers  []*server
	gateways []*gateway
	proxies  []*proxy
	stop     chan struct{}
	clients  sync.WaitGroup

	mu sync.Mutex
	// inTouchFrom is when the gateways are in touch again.
	inTouchFrom time.Time
	changedAt   time.Time
	// isLate tells whether a request from a gateway in touch breaks the rule.
	isLate func(seenRequest) bool

	sentAt  map[string]time.Time
	lateIDs map[string]bool
	late    int
	latest  time.Duration

	served, unserved, lost int
}

func newSilentPlay() *silentPlay {
	p := &silentPlay{store: newStore(), stop: make(chan struct{}), sentAt: map[string]time.Time{}, lateIDs: map[string]bool{}}
	shared := p.store.open()
	zones := []string{"hn-a", "hn-b", "hn-c", "hn-d"}
	for n, zone := range zones {
		s := &server{id: fmt.Sprintf("i-4c20e1b%d", n), service: "ledger-app", zone: zone, version: "v1", slots: slotsOf["ledger-app"]}
		s.serve = func(x *exchange) {
			p.arrive(x)
			time.Sleep(silentWork)
			x.answer(http.StatusOK, nil, []byte("signed\n"))
		}
		s.start()
		p.store.put("servers/"+s.id, s.entry(1, "ready", 0))
		p.servers = append(p.servers, s)
	}
	p.store.put("op/config", configuration(3, route("sign-off", "unsafe", "ledger-app", 600, 120, 1, false)))
	p.gateways = newGateways(folder, zones, func(int) string {
		between := newProxy(shared.addr)
		p.proxies = append(p.proxies, between)

		return between.addr
	})
	for _, g := range p.gateways {
		g.start()
	}
	for _, g := range p.gateways {
		g.awaitReady()
	}
	for _, g := range p.gateways {
		for range silentClients {
			p.clients.Go(func() { p.client(g) })
		}
	}
	time.Sleep(silentCalm + rand.N(silentSpread))

	return p
}

// silence makes the open connections between the gateways and the store silent, and waits until the change is due.
func (p *silentPlay) silence() {
	if hasTrouble {
		for _, between := range p.proxies {
			between.silence()
		}
		record("the open connections to the store go silent; new ones work")
	}
	p.mu.Lock()
	p.inTouchFrom = time.Now().Add(contactTime)
	p.mu.Unlock()
	time.Sleep(changeAfter)
}

func (p *silentPlay) setChange(at time.Time, isLate func(seenRequest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedAt, p.isLate = at, isLate
}

// end lets the clients finish. Nothing changes after it.
func (p *silentPlay) end() {
	close(p.stop)
	p.clients.Wait()
	if p.served == 0 {
		cannotRun("nothing was served")
	}
}

// arrive notes a request that has reached a server.
func (p *silentPlay) arrive(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := seenRequest{server: x.server.id, sentAt: p.sentAt[x.id], arrivedAt: time.Now()}
	isLate := p.isLate != nil && r.sentAt.After(p.inTouchFrom) && p.isLate(r)
	note := ""
	if isLate {
		p.late++
		p.lateIDs[x.id] = true
		p.latest = max(p.latest, r.arrivedAt.Sub(p.changedAt))
		note = ": too late"
	}
	record("server %s runs %s%s", r.server, x.id, note)
}

// client sends one request after the other on a kept connection, and opens another when that ends.
func (p *silentPlay) client(g *gateway) {
	for {
		conn, err := g.dial()
		if err != nil {
			cannotRun("dial %s: %v", g.name, err)
		}
		reader := bufio.NewReader(conn)
		for isOpen := true; isOpen; {
			select {
			case <-p.stop:
				_ = conn.Close()

				return
			case <-time.After(silentPause/2 + rand.N(silentPause)):
			}
			id := newID()
			p.mu.Lock()
			p.sentAt[id] = time.Now()
			p.mu.Unlock()
			record("%s is sent %s", g.name, id)
			r := callOn(conn, reader, http.MethodPost, "/sign-off/2f", id, silentDeadline, map[string]string{"Cardamompulley-Key": apiKey}, strings.Repeat("m", 200))
			p.answer(g, id, r)
			isOpen = r.err == nil && r.header.Get("Connection") != "close"
		}
		_ = conn.Close()
	}
}

// answer notes what a client got.
func (p *silentPlay) answer(g *gateway, id string, r reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record("%s answers %s: status %d, error %v", g.name, id, r.status, r.err)
	if r.err == nil && r.status == http.StatusOK {
		p.served++

		return
	}
	p.unserved++
	if p.lateIDs[id] {
		p.lost++
	}
}
