package standin3

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	unframedEvents  = 40
	unframedPause   = 100 * time.Millisecond
	unframedClients = 24
	unframedRunners = 4
	// crashAfter is when one runner is killed, counted from the first request.
	crashAfter = 2 * time.Second
	// processRunner is the argument with which this program is a runner in a process of its own.
	processRunner = "runner"
)

// processServes are what runners in processes of their own can answer, by the name of the case.
var processServes = map[string]func(*call) bool{
	"unframed-streams": serveUnframed,
	"unframed-records": serveUnframedRecord,
}

// runProcessRunner answers without a length until the process is killed. It prints its address and what it runs.
func runProcessRunner(id, service, kind string) int {
	r, err := newRunner(id, service, processServes[kind])
	if err != nil {
		return exitFailed
	}
	fmt.Println(r.address)
	select {}
}

// serveUnframed sends a stream that has neither a length nor chunks and ends with its connection.
func serveUnframed(c *call) bool {
	_, _ = io.Copy(io.Discard, c.request.Body)
	fmt.Printf("%s: runner %s runs it\n", c.attempt, c.runner.id)
	head := strings.Replace(c.head(http.StatusOK), "Keep-Alive: timeout=10", "Connection: close", 1)
	fmt.Fprintf(c.conn, "%sContent-Type: text/event-stream\r\n\r\n", head)
	for n := range unframedEvents {
		time.Sleep(unframedPause)
		if _, err := fmt.Fprintf(c.conn, "id: %d\ndata: %s\n\n", n+1, c.attempt); err != nil {
			return false
		}
	}
	fmt.Printf("%s: runner %s has sent all events\n", c.attempt, c.runner.id)

	return false
}

// startProcessRunner starts a runner as a process of its own and writes its entry into the store.
func (w *world) startProcessRunner(id, service, kind string) (*exec.Cmd, error) {
	command := exec.Command(os.Args[0], processRunner, id, service, kind)
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return command, fmt.Errorf("runner %s does not start", id)
	}
	r := &runner{id: id, service: service, address: lines.Text(), born: time.Now().UnixMilli()}
	w.store.put("servers/"+id, r.entry(0))
	go func() {
		for lines.Scan() {
			w.write("%s", lines.Text())
		}
	}()

	return command, nil
}

// playUnframedStreams lets one of four runners crash while it sends streams without a length. No stream may end as complete before its last
// event.
func playUnframedStreams(w *world) (bool, error) {
	w.store.put("op/config", configuration(1, route("draft", "stream", serviceEngine, 1, false)))

	return w.playUnframed(serviceEngine, "unframed-streams", w.sendUnframed)
}

// playUnframed kills one of four runners while clients read. It returns whether send has returned true for any of them.
func (w *world) playUnframed(service, kind string, send func(g *gateway, n int) bool) (bool, error) {
	var runners []*exec.Cmd
	defer func() {
		for _, r := range runners {
			_ = r.Process.Kill()
			_ = r.Wait()
		}
	}()
	for n := range unframedRunners {
		r, err := w.startProcessRunner(fmt.Sprintf("i-%d", n+1), service, kind)
		if r != nil && r.Process != nil {
			runners = append(runners, r)
		}
		if err != nil {
			return false, err
		}
	}
	g, err := w.addGateway()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wait sync.WaitGroup
	cut := make([]bool, unframedClients)
	for n := range unframedClients {
		wait.Go(func() { cut[n] = send(g, n) })
	}
	if w.isTroubled {
		time.Sleep(crashAfter)
		w.write("runner i-1 is killed")
		_ = runners[0].Process.Kill()
	}
	wait.Wait()

	return slices.Contains(cut, true), nil
}

// sendUnframed returns whether the stream has ended as complete before its last event.
func (w *world) sendUnframed(g *gateway, n int) bool {
	c, err := newClient(g)
	if err != nil {
		return false
	}
	defer c.close()
	attempt := fmt.Sprintf("draft-%d", n+1)
	fields := fmt.Sprintf("Cardamompulley-Model: m\r\nCardamompulley-Token-Counts: 1460,80\r\nCardamompulley-Prompt-Prefix: %x:800,%x:660\r\n", n+1, n+100)
	o := c.send(http.MethodPost, "/draft/1", attempt, fields, []byte("draft"), 12*time.Second)
	events := bytes.Count(o.body, []byte("data:"))
	isCut := o.status == http.StatusOK && o.err == nil && events < unframedEvents
	w.write("%s: the client gets %d, %d of %d events, error %v, ends as complete too early: %v", attempt, o.status, events, unframedEvents, o.err, isCut)

	return isCut
}
