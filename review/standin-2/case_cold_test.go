package standin2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the sheet for cold servers.
const (
	coldTime = 3 * time.Second
	// coldBound is cold-per-s x cold-overshoot + cold-slack.
	coldBound = coldPerSecond*1.5 + 5
	// coldCrash is the number of requests in one second beyond which a cold server crashes, well above what it tolerates.
	coldCrash = 3 * coldPerSecond
)

// The times of the disruption, from the last entry that the server writes before it.
const (
	cutCrash   = 200 * time.Millisecond
	cutRestart = 800 * time.Millisecond
	cutEnd     = 5 * time.Second
	// cutExpiry is when the store removes the entry of a server that writes no more.
	cutExpiry = 3 * heartbeat
)

// coldServer is the server that is cut off, with what it sees while it is cold.
type coldServer struct {
	*server

	mu       sync.Mutex
	since    time.Time
	arrivals []time.Time
	most     int
	crashes  int
}

// admit counts a request and reports whether the server survives it.
func (c *coldServer) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.since.IsZero() || now.Sub(c.since) > coldTime {
		return true
	}
	c.arrivals = append(c.arrivals, now)
	within := 0
	for _, at := range c.arrivals {
		if now.Sub(at) < time.Second {
			within++
		}
	}
	c.most = max(c.most, within)
	record("request %d within a second reaches the cold server %s", within, c.id)
	if within <= coldCrash {
		return true
	}
	c.crashes++
	c.since = time.Time{}

	return false
}

// reborn plays the disruption: the server is cut off from the store, crashes behind the cut and starts again under its ID.
func (c *coldServer) reborn(s *store) {
	s.put("servers/"+c.id, c.entry(2, "ready", 0))
	record("server %s writes its entry, and is cut off from the store after that", c.id)
	lastWrite := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(lastWrite.Add(d))) }
	at(cutCrash)
	c.crash()
	at(cutRestart)
	c.mu.Lock()
	c.since = time.Now()
	c.mu.Unlock()
	c.start()
	record("server %s starts again under its ID, cold for %v", c.id, coldTime)
	at(cutExpiry)
	s.delete("servers/" + c.id)
	record("the store removes the entry of server %s after three heartbeats of silence", c.id)
	at(cutEnd)
	record("the cut ends")
}

// cold: a server that is cut off from the store crashes and starts again under its ID, while the list still holds its entry.
func cold() {
	s := newStore()
	d := s.open()
	s.put("op/config", configuration(3, route("title-tag", "stream", "scribe-llm", 3000, 500, 1, false)))
	victim := &coldServer{}
	for n, zone := range []string{"hn-a", "hn-b", "hn-c", "hn-d", "hn-a"} {
		sv := &server{id: fmt.Sprintf("i-7f3a91c%d", n), service: "scribe-llm", zone: zone, version: "v1", slots: slotsOf["scribe-llm"]}
		sv.serve = func(x *exchange) {
			if x.server == victim.server && !victim.admit() {
				x.server.crash()

				return
			}
			x.stream(3, 20*time.Millisecond)
		}
		if n == 0 {
			victim.server = sv
		}
		sv.start()
		s.put("servers/"+sv.id, sv.entry(1, "ready", 0))
	}
	gateways := newGateways(folder, []string{"hn-a", "hn-b", "hn-c", "hn-d"}, func(int) string { return d.addr })
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var w sync.WaitGroup
	served, failed, refused := 0, 0, 0
	end := time.Now().Add(9 * time.Second)
	w.Go(func() {
		time.Sleep(2 * time.Second)
		if hasTrouble {
			victim.reborn(s)
		}
	})
	// Requests of many sessions, as on the sheet, which all servers share evenly.
	for n := 0; time.Now().Before(end); n++ {
		w.Go(func() {
			id := newID()
			r := gateways[n%4].call(http.MethodPost, "/title-tag/2f", id, 3*time.Second, prompt(rand.IntN(400), id, 1700, 360, 20), "b")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err == nil && r.status == http.StatusOK && strings.Contains(string(r.body), "piece 3"):
				served++
			case r.status == http.StatusServiceUnavailable:
				refused++
			default:
				failed++
				record("request %s: status %d, error %v", id, r.status, r.err)
			}
		})
		time.Sleep(time.Second / 300)
	}
	w.Wait()
	victim.mu.Lock()
	defer victim.mu.Unlock()
	broken := 0
	if victim.most > coldBound {
		broken = 1
	}
	conclude("FAILBACK", broken, fmt.Sprintf("at most %d requests in one second at the cold server, %g allowed; it crashed %d times for that; %d requests served, %d refused, %d failed",
		victim.most, float64(coldBound), victim.crashes, served, refused, failed))
}
