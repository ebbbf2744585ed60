package review

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site bbsh-minutes.
const (
	heartbeat   = 1200 * time.Millisecond
	drainTime   = 2000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	evacuate    = 5000 * time.Millisecond
	// leaseBeats is the number of status report intervals of silence after which an entry is removed.
	leaseBeats = 3
)

var zones = []string{"hn-a", "hn-b", "hn-c", "hn-d"}

// world is the deployment that a case plays with.
type world struct {
	hasTrouble bool
	store      *store
	gateways   []*gateway
	// addresses holds those that are taken.
	addresses map[string]bool

	dir       string
	startedAt time.Time
	mu        sync.Mutex
	record    *os.File
	runners   []*runner
}

// gateway is a process of the project.
type gateway struct {
	name     string
	zone     string
	callers  string
	ready    string
	peer     string
	settings string
	logPath  string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newWorld(folder string, hasTrouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{hasTrouble: hasTrouble, dir: dir, startedAt: time.Now(), record: record, addresses: map[string]bool{}}
	w.note("trouble: %v", hasTrouble)
	w.store, err = newStore()

	return w, err
}

// note writes a line into the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, r := range w.runners {
		r.crash()
	}
	w.store.server.Close()
	w.record.Close()
	os.RemoveAll(w.dir)
}

// Ports of the gateways. They lie below those that the system gives to outgoing connections, so that a gateway can start again.
const (
	firstPort = 12000
	lastPort  = 32000
)

var errNoPort = errors.New("no free port")

// freeAddress returns a loopback address that nobody listens on, another one each time.
func (w *world) freeAddress() (string, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		if address := l.Addr().String(); !w.addresses[address] {
			w.addresses[address] = true

			return address, nil
		}
	}

	return "", errNoPort
}

// startGateways starts one gateway in each zone and waits until all are ready and have settled.
func (w *world) startGateways() error {
	var seeds []string
	for n, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, 1), zone: zone}
		for _, address := range []*string{&g.callers, &g.ready, &g.peer} {
			var err error
			if *address, err = w.freeAddress(); err != nil {
				return err
			}
		}
		if n < 3 {
			seeds = append(seeds, g.peer)
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := w.writeSettings(g, seeds); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(4 * time.Second)
	w.note("%d gateways are ready", len(w.gateways))

	return nil
}

// writeSettings writes what the template of the deploy file gives for a machine of the site.
func (w *world) writeSettings(g *gateway, seeds []string) error {
	metrics, err := w.freeAddress()
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(map[string]any{
		"process": g.name, "domain": g.zone, "listen": g.callers, "ready-listen": g.ready, "peer-listen": g.peer,
		"metrics-listen": metrics, "store-address": w.store.address, "seeds": seeds, "memory-mb": 284, "cores": 1,
		"store-reads-per-second": 2000, "heartbeat-ms": 1200, "contact-ms": 3000, "drain-ms": 2000, "config-apply-ms": 2000,
		"shutdown-grace-ms": 8000, "retry-window-ms": 10000, "retry-ratio": 0.2, "retry-slack": 56, "load-multiple": 2,
	}, "", "  ")
	if err != nil {
		return err
	}
	g.settings = filepath.Join(w.dir, g.name+".json")
	g.logPath = filepath.Join(w.dir, g.name+".log")

	return os.WriteFile(g.settings, raw, 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("target/router", "gateway", "--settings", g.settings)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMPULLEY_BOOT=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(g.cmd, g.done)

	return nil
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.done == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.done
}

var errNotReady = errors.New("a gateway is not ready")

func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}

	log, _ := os.ReadFile(g.logPath)

	return fmt.Errorf("%w: %s: %s", errNotReady, g.name, log[max(0, len(log)-500):])
}
