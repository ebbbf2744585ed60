package standin3

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
	"syscall"
	"time"
)

var (
	errNotReady = errors.New("a gateway does not get ready")
	errNoPort   = errors.New("no port is free")
)

// gateway is a process of the router, as the deploy file starts it.
type gateway struct {
	name, callers, ready, peer string
	settings                   string
	router                     string
	command                    *exec.Cmd
	log                        *os.File
	exited                     chan struct{}
}

// Ports of gateways lie below those that the system gives to outgoing connections, which could take one before its gateway starts.
const firstPort, lastPort = 20_000, 32_000

// freeAddress returns a loopback address of which the port is free now.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}

	return "", errNoPort
}

// newGateway writes the settings of a gateway: the template of the deploy file, with the figures of the small sites.
func newGateway(name, zone, router, store, folder string, seeds []string) (*gateway, error) {
	g := &gateway{name: name, router: router, settings: filepath.Join(folder, name+".json")}
	metrics := ""
	for _, address := range []*string{&g.callers, &g.ready, &g.peer, &metrics} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	raw, err := json.Marshal(map[string]any{
		"process": name, "domain": zone, "listen": g.callers, "ready-listen": g.ready, "peer-listen": g.peer, "metrics-listen": metrics,
		"store-address": store, "seeds": seeds, "memory-mb": 284, "load-spread": true, "cores": 1, "store-reads-per-second": 2000,
		"heartbeat-ms": 1200, "contact-ms": 3000, "drain-ms": 2000, "config-apply-ms": 2000, "shutdown-grace-ms": 8000,
		"retry-window-ms": 10000, "retry-ratio": 0.2, "retry-slack": 56, "load-multiple": 2,
	})
	if err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}

	return g, os.WriteFile(g.settings, raw, 0o600)
}

// start starts the process and waits until it is ready.
func (g *gateway) start() error {
	g.command = exec.Command(g.router, "gateway", "--settings", g.settings)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.command.Wait()
		close(g.exited)
	}()
	for range 200 {
		if g.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return fmt.Errorf("%w: %s", errNotReady, g.name)
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

func (g *gateway) signal(s syscall.Signal) {
	_ = g.command.Process.Signal(s)
}

// end kills the process if it still runs.
func (g *gateway) end() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	<-g.exited
}
