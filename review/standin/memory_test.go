package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory-of-garbage"] = playMemoryOfGarbage }

const (
	// memoryMB is memory-mb of a front machine of the site.
	memoryMB = 284
	// restartDelay is the short delay after which a process that has been killed is started again.
	restartDelay = 500 * time.Millisecond
	// spoiledEvery makes the faulty runners spoil two in a hundred of their answers, for garbleTime from garbleAfter on.
	spoiledEvery = 50
	garbleAfter  = 3 * time.Second
	garbleTime   = 5 * time.Second
	// garbageBytesPerSecond is what a link of 1,000 Mbit/s carries, and garbageBytes the size of a spoiled answer.
	garbageBytesPerSecond = 1000 * 1000 * 1000 / 8
	garbageBytes          = 200 * 1000 * 1000
	// firstEventAfter is the time to the first event of a stream.
	firstEventAfter = 500 * time.Millisecond
	keptPerGateway  = 30
	// startSpread is the time over which the clients begin.
	startSpread = 1400 * time.Millisecond
	trafficTime = 18 * time.Second
)

// playMemoryOfGarbage has a third of the runners spoil two in a hundred of their answers: they send bytes that are no answer. The platform
// kills a process that takes more memory than its settings give it, and starts it again.
func playMemoryOfGarbage(w *world) (bool, error) {
	w.putConfiguration(7, draftRoute)
	stream := streamOf(14, eventPause, func(_ string, n int) string { return fmt.Sprintf("words %d", n) })
	isSound := map[string]bool{}
	var isGarbling atomic.Bool
	var answers atomic.Int64
	for n := range 12 {
		isFaulty := w.hasTrouble && n%3 == 0
		r, err := w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+n), zones[n%4], engines, 64,
			func(r *runner, rw http.ResponseWriter, q *http.Request, body []byte) {
				if isFaulty && isGarbling.Load() && answers.Add(1)%spoiledEvery == 1 {
					w.note("runner %s sends bytes that are no answer", r.id)
					sendGarbage(rw)

					return
				}
				select {
				case <-q.Context().Done():
					return
				case <-time.After(firstEventAfter):
				}
				stream(r, rw, q, body)
			})
		if err != nil {
			return false, err
		}
		isSound[r.id] = !isFaulty
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var wait sync.WaitGroup
	for _, g := range w.gateways {
		wait.Go(func() { w.superviseMemory(g, done) })
	}
	var k keptLosses
	for n := range keptPerGateway * len(w.gateways) {
		wait.Go(func() { w.useKeptConnections(n, w.gateways[n%len(w.gateways)], done, &k) })
	}
	time.Sleep(garbleAfter)
	isGarbling.Store(true)
	time.Sleep(garbleTime)
	isGarbling.Store(false)
	w.note("the runners spoil no more answers; they have given %d in the meantime", answers.Load())
	time.Sleep(trafficTime - garbleTime - garbleAfter)
	close(done)
	wait.Wait()

	return k.judge(w, isSound), nil
}

// sendGarbage sends garbageBytes that are no answer, as fast as a link carries them, unless the peer closes the connection.
func sendGarbage(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const pause = 10 * time.Millisecond
	piece := make([]byte, garbageBytesPerSecond/100)
	for range garbageBytes / len(piece) {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// residentMB returns the memory that a process takes, zero if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))

			return kb / 1024
		}
	}

	return 0
}

// superviseMemory plays the platform: it kills a process that takes more than its memory, and starts it again.
func (w *world) superviseMemory(g *gateway, done chan struct{}) {
	most := 0
	defer func() { w.note("%s took %d MB at most", g.name, most) }()
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		mb := residentMB(g.cmd.Process.Pid)
		most = max(most, mb)
		if mb <= memoryMB {
			continue
		}
		g.kill()
		w.note("%s takes %d MB, more than %d: it is killed", g.name, mb, memoryMB)
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			w.note("%s does not start again: %v", g.name, err)

			return
		}
	}
}

// keptLoss is a request on a kept connection that got no byte of an answer.
type keptLoss struct {
	attempt string
	err     error
}

type keptLosses struct {
	mu     sync.Mutex
	losses []keptLoss
	served int
	cut    int
}

func (k *keptLosses) add(attempt string, isFirst, hasAnswer, isComplete bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case isComplete:
		k.served++
	case hasAnswer:
		k.cut++
	case !isFirst:
		k.losses = append(k.losses, keptLoss{attempt, err})
	}
}

// useKeptConnections sends one request after the other on a connection, and opens another one when it is closed.
func (w *world) useKeptConnections(client int, g *gateway, done chan struct{}, k *keptLosses) {
	time.Sleep(startSpread * time.Duration(client*37%100) / 100)
	for number := 0; ; {
		conn, err := net.DialTimeout("tcp", g.callers, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		} else {
			number = w.useConnection(conn, client, number, g, done, k)
			conn.Close()
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

func (w *world) useConnection(conn net.Conn, client, number int, g *gateway, done chan struct{}, k *keptLosses) int {
	reader := bufio.NewReader(conn)
	for isFirst := true; ; isFirst = false {
		select {
		case <-done:
			return number
		default:
		}
		number++
		c := call{
			gateway: g, method: http.MethodPost, path: fmt.Sprintf("/lohu930/%02x", client), attempt: fmt.Sprintf("9c41d0%05x%05x", client, number),
			key: clientKey, deadline: 12 * time.Second, session: 1 + client%24, body: make([]byte, 4000),
		}
		_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
		if err := c.send(conn); err != nil {
			k.add(c.attempt, isFirst, false, false, err)

			return number
		}
		if _, err := reader.Peek(1); err != nil {
			k.add(c.attempt, isFirst, false, false, err)

			return number
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
		if err != nil {
			k.add(c.attempt, isFirst, true, false, err)

			return number
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		k.add(c.attempt, isFirst, true, err == nil, err)
		if err != nil || response.Close {
			return number
		}
	}
}

// judge reports whether more than three requests from kept connections that had reached a sound runner got no answer.
func (k *keptLosses) judge(w *world, isSound map[string]bool) bool {
	ranAt := map[string]string{}
	for _, a := range w.allArrivals() {
		ranAt[a.attempt] = a.runner
	}
	lost := 0
	for _, l := range k.losses {
		if id, ok := ranAt[l.attempt]; ok && isSound[id] {
			lost++
			w.note("LOST: request %s had reached sound runner %s; its kept connection ended without an answer: %v", l.attempt, id, l.err)
		}
	}
	w.note("LOST: %d requests; besides, %d answers were cut and %d were whole", lost, k.cut, k.served)

	return lost > 3
}
