package standin2

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the site.
const (
	drainTime   = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
)

// Times of the case.
const (
	// calmTime is how long the gateways serve before anything happens.
	calmTime = 5 * time.Second
	// silentAfter is the time from the operator's change to the silence, and leaveAfter that to the removal of the server's entry.
	silentAfter = 1050 * time.Millisecond
	leaveAfter  = 1200 * time.Millisecond
	// servedOn is how long the server goes on serving after the removal of its entry: drain-ms and a little longer.
	servedOn = drainTime + 1250*time.Millisecond
	// departedCallers is the number of clients at each gateway, signOffWork the time that a server takes for a request.
	departedCallers  = 6
	departedPause    = 60 * time.Millisecond
	signOffWork      = 60 * time.Millisecond
	signOffDeadline  = 600 * time.Millisecond
	departedTailTime = 3 * time.Second
)

// departed plays a server that leaves the list without a word, as some do, a short time after the open connections to the store have gone
// silent.
func departed() {
	zones := []string{"hn-a", "hn-b", "hn-c", "hn-d"}
	st := newStore()
	shared := st.open()
	var proxies []*proxy
	gateways := newGateways(folder, zones, func(int) string {
		p := newProxy(shared.addr)
		proxies = append(proxies, p)

		return p.addr
	})
	watch := &leaving{}
	var servers []*server
	for n, zone := range zones {
		s := &server{id: fmt.Sprintf("i-ledger-%d", n), service: "ledger-app", zone: zone, version: "v1", slots: 6}
		s.serve = func(x *exchange) {
			watch.arrive(x)
			time.Sleep(signOffWork)
			x.answer(http.StatusOK, nil, []byte("signed\n"))
		}
		s.start()
		st.put("servers/"+s.id, s.entry(1, "ready", 0))
		servers = append(servers, s)
	}
	routes := []any{route("sign-off", "unsafe", "ledger-app", 600, 120, 1, false)}
	st.put("op/config", configuration(3, routes...))
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	for _, g := range gateways {
		for range departedCallers {
			w.Go(func() { watch.callRepeatedly(g, stop) })
		}
	}
	time.Sleep(calmTime)

	st.put("op/config", configuration(4, append(routes, route("added", "unsafe", "ledger-app", 600, 120, 1, false))...))
	record("the operator sends configuration 4")
	time.Sleep(silentAfter)
	if hasTrouble {
		record("the open connections to the store go silent")
		for _, p := range proxies {
			p.silence()
		}
	}
	watch.setTouch(time.Now().Add(contactTime))
	time.Sleep(leaveAfter - silentAfter)
	gone := servers[0]
	st.delete("servers/" + gone.id)
	watch.setLeft(gone.id, time.Now())
	record("the entry of server %s is removed; it goes on serving for %s", gone.id, servedOn)
	time.Sleep(servedOn)
	gone.crash()
	time.Sleep(departedTailTime)
	close(stop)
	w.Wait()
	watch.conclude()
}

// leaving holds what the server that leaves and the clients have seen.
type leaving struct {
	mu     sync.Mutex
	server string
	leftAt time.Time
	// inTouchFrom is when the gateways are in touch again after the silence.
	inTouchFrom time.Time
	sentAt      map[string]time.Time
	ran         map[string]string
	// late holds the requests that have reached the server too late.
	late               []string
	latest             time.Duration
	answered, unserved int
	lost               int
}

func (l *leaving) setTouch(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inTouchFrom = at
}

func (l *leaving) setLeft(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server, l.leftAt = id, at
}

// arrive notes a request that has reached a server.
func (l *leaving) arrive(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.ran[x.id] = x.server.id
	record("server %s gets %s", x.server.id, x.id)
	if x.server.id != l.server || !l.sentAt[x.id].After(l.inTouchFrom) {
		return
	}
	if after := now.Sub(l.leftAt); after > drainTime {
		l.late = append(l.late, x.id)
		l.latest = max(l.latest, after)
	}
}

// callRepeatedly sends requests one after the other on a kept connection.
func (l *leaving) callRepeatedly(g *gateway, stop <-chan struct{}) {
	for {
		conn, err := g.dial()
		if err != nil {
			cannotRun("dial %s: %v", g.name, err)
		}
		reader := bufio.NewReader(conn)
		isOpen := true
		for isOpen {
			select {
			case <-stop:
				_ = conn.Close()

				return
			case <-time.After(departedPause):
			}
			id := newID()
			l.send(id)
			record("%s is sent %s", g.name, id)
			r := callOn(conn, reader, http.MethodPost, "/sign-off/2f", id, signOffDeadline, map[string]string{"Cardamompulley-Key": apiKey}, strings.Repeat("m", 200))
			l.answer(g, id, r)
			isOpen = r.err == nil && r.header.Get("Connection") != "close"
		}
		_ = conn.Close()
	}
}

func (l *leaving) send(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sentAt == nil {
		l.sentAt, l.ran = map[string]time.Time{}, map[string]string{}
	}
	l.sentAt[id] = time.Now()
}

func (l *leaving) answer(g *gateway, id string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record("%s answers %s: status %d, error %v", g.name, id, r.status, r.err)
	if r.err == nil && r.status == http.StatusOK {
		l.answered++

		return
	}
	l.unserved++
	if l.ran[id] == l.server && l.sentAt[id].After(l.inTouchFrom) {
		l.lost++
	}
}

func (l *leaving) conclude() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered == 0 {
		cannotRun("nothing was served")
	}
	for _, id := range l.late {
		record("late: %s", id)
	}
	conclude("DRAIN", len(l.late), fmt.Sprintf(
		"%d requests sent by gateways in touch reached the server later than %s after its entry was removed, the last %d ms after it; %d of those that it got were lost with it; %d requests answered, %d not",
		len(l.late), drainTime, l.latest.Milliseconds(), l.lost, l.answered, l.unserved))
}
