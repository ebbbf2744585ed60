package standin2

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unframedCase is a case in which the first of four servers, which answer without a length, ends in the middle of its answers.
type unframedCase struct {
	rule  string
	route map[string]any
	// unit begins each part of an answer; a whole one has so many of them, one in each pause.
	unit  string
	whole int
	pause time.Duration
	// end ends the server.
	end func(s *store, c *child)
}

func (u *unframedCase) play() {
	s := newStore()
	d := s.open()
	service := u.route["service"].(string)
	s.put("op/config", configuration(3, u.route))
	var servers []*child
	for n, zone := range []string{"hn-a", "hn-b", "hn-c", "hn-d"} {
		c := startChild(fmt.Sprintf("i-7f3a91c%d", n), service, zone)
		servers = append(servers, c)
		s.put("servers/"+c.id, c.entry(1, "ready", 0))
	}
	gateways := newGateways(folder, []string{"hn-a", "hn-b"}, func(int) string { return d.addr })
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var w sync.WaitGroup
	complete, partial, failed := 0, 0, 0
	for n := range unframedRequests {
		w.Go(func() {
			units, isWhole := u.send(gateways[n%2], n)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !isWhole:
				failed++
			case units != u.whole:
				partial++
			default:
				complete++
			}
		})
	}
	time.Sleep(time.Duration(u.whole/4) * u.pause)
	if hasTrouble {
		u.end(s, servers[0])
	}
	w.Wait()
	conclude(u.rule, partial, fmt.Sprintf("%d answers whole, %d failed or broken off, %d successes that end as complete with a part of the answer", complete, failed, partial))
}

// send sends a request and returns the parts that the client has got, and whether the answer is a success that ends as a complete one does.
func (u *unframedCase) send(g *gateway, n int) (units int, isWhole bool) {
	id := newID()
	deadline := time.Duration(u.route["timeout-ms"].(int)) * time.Millisecond
	record("request %s is sent to %s", id, g.name)
	r := g.call(http.MethodPost, "/"+u.route["name"].(string)+"/2f", id, deadline, prompt(n, id, 10000, 1300, 400), "b")
	units = strings.Count(string(r.body), u.unit)
	record("request %s is answered: status %d, proof %q, length %q, %d of %d parts, read error %v",
		id, r.status, r.header.Get("Cardamompulley-Response-Signature"), r.header.Get("Content-Length"), units, u.whole, r.err)

	return units, r.err == nil && r.status == http.StatusOK
}

// crashes kills the process of a server.
func crashes(_ *store, c *child) {
	c.kill()
	record("server %s is killed", c.id)
}

// leaves lets a server leave: it says so in the store, and its process ends noticeTime later.
func leaves(s *store, c *child) {
	s.put("servers/"+c.id, c.entry(2, "draining", 0))
	record("server %s reports that it is draining", c.id)
	time.Sleep(noticeTime)
	c.kill()
	s.delete("servers/" + c.id)
	record("server %s is gone", c.id)
}

const (
	// noticeTime is how long after the notice a server is gone: drain-ms and a little longer.
	noticeTime = 2200 * time.Millisecond
	// unframedRequests is the number of requests that run at the same time.
	unframedRequests = 24
)

func unframedTranscript() {
	u := unframedCase{
		rule: "ORDER", route: route("full-transcript", "stream", "scribe-llm", 12000, 800, 1, false),
		unit: "data: piece", whole: unframedEvents, pause: unframedPause, end: crashes,
	}
	u.play()
}

func unframedEdit() {
	u := unframedCase{
		rule: "ORDER", route: route("section-edit", "stream", "scribe-llm", 12000, 400, 2, true),
		unit: "data: piece", whole: unframedEvents, pause: unframedPause, end: leaves,
	}
	u.play()
}

func unframedSignOff() {
	u := unframedCase{
		rule: "MIXED", route: route("sign-off", "unsafe", "ledger-app", 600, 120, 1, false),
		unit: "line ", whole: unframedLines, pause: unframedPause / 10, end: crashes,
	}
	u.play()
}
