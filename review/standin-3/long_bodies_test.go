package standin3

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// longBodyBytes is a quarter of max-body-bytes.
	longBodyBytes = 1 << 20
	// readsOnAfter is how long a runner leaves the rest of a long body unread. It answers meanwhile.
	readsOnAfter = 3 * time.Second
	longEvents   = 16
	longPause    = 300 * time.Millisecond
	longClients  = 6
)

// playLongBodies sends streams with long bodies just after a SIGHUP. The runners begin to answer before they have read the whole body and
// read on later. Each client has to get all events and the end of the stream.
func playLongBodies(w *world) (bool, error) {
	w.store.put("op/config", configuration(1, route("draft", "stream", serviceEngine, 1, false), route("lookup", "safe", servicePlain, 2, false)))
	if err := w.addRunner("i-lookup", servicePlain, serveLookup); err != nil {
		return false, err
	}
	for n := range 3 {
		if err := w.addRunner(fmt.Sprintf("i-%d", n+1), serviceEngine, w.serveLongBody); err != nil {
			return false, err
		}
	}
	g, err := w.addGateway()
	if err != nil {
		return false, err
	}
	// Longer than contact-ms, so that the gateway is in touch.
	time.Sleep(4 * time.Second)
	if w.isTroubled {
		w.reload(g)
	}
	var wait sync.WaitGroup
	cut := make([]bool, longClients)
	for n := range longClients {
		wait.Go(func() { cut[n], err = w.sendLongBody(g, n) })
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	isBroken := false
	for _, is := range cut {
		isBroken = isBroken || is
	}

	return isBroken, err
}

// serveLookup answers at once.
func serveLookup(c *call) bool {
	c.answer(http.StatusOK, "", "found\n")

	return true
}

// sendLongBody sends a lookup, then a stream over the same connection. It returns whether the connection has ended without a complete answer to
// the stream.
func (w *world) sendLongBody(g *gateway, n int) (isCut bool, err error) {
	c, err := newClient(g)
	if err != nil {
		return false, err
	}
	defer c.close()
	if o := c.send(http.MethodGet, "/lookup/1", fmt.Sprintf("lookup-%d", n+1), "", nil, time.Second); o.err != nil || o.status != http.StatusOK {
		return false, fmt.Errorf("a lookup gets %d, %v", o.status, o.err)
	}
	attempt := fmt.Sprintf("draft-%d", n+1)
	fields := fmt.Sprintf("Cardamompulley-Model: m\r\nCardamompulley-Token-Counts: 1460,80\r\nCardamompulley-Prompt-Prefix: 5c1e07a2:800,%x:660\r\n", n+100)
	w.write("%s: sent to %s, %d bytes", attempt, g.name, longBodyBytes)
	o := c.send(http.MethodPost, "/draft/1", attempt, fields, bytes.Repeat([]byte("a"), longBodyBytes), 12*time.Second)
	w.write("%s: the client gets %d, %d of %d events, error %v, %d ms after the request", attempt, o.status, bytes.Count(o.body, []byte("data:")),
		longEvents, o.err, o.took.Milliseconds())

	return o.err != nil, nil
}

// serveLongBody streams events from the moment at which the head of the request is there.
func (w *world) serveLongBody(c *call) bool {
	w.write("%s: runner %s runs it", c.attempt, c.runner.id)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		if w.isTroubled {
			time.Sleep(readsOnAfter)
		}
		n, err := io.Copy(io.Discard, c.request.Body)
		w.write("%s: runner %s has read %d bytes of the body, error %v", c.attempt, c.runner.id, n, err)
	})
	fmt.Fprintf(c.conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.head(http.StatusOK))
	for n := range longEvents {
		time.Sleep(longPause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, c.attempt)
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			w.write("%s: runner %s cannot send event %d: %v", c.attempt, c.runner.id, n+1, err)

			return false
		}
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	w.write("%s: runner %s has sent the end of the stream", c.attempt, c.runner.id)

	return err == nil
}
