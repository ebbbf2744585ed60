package standin2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name     string
	settings string
	callers  string
	ready    string
	command  *exec.Cmd
	done     chan struct{}
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() string {
	l := listen(anyPort)
	defer l.Close()

	return l.Addr().String()
}

// newGateways writes the settings of gateways that know each other as seeds; storeOf returns the address of the store for each.
func newGateways(folder string, zones []string, storeOf func(int) string) []*gateway {
	var gateways []*gateway
	var seeds, peers []string
	for range zones {
		peers = append(peers, freeAddress())
	}
	seeds = peers[:min(3, len(peers))]
	for n, zone := range zones {
		name := fmt.Sprintf("front-%s-%d", zone, n)
		g := &gateway{name: name, settings: filepath.Join(folder, name+".json"), callers: freeAddress(), ready: freeAddress()}
		// The template deploy/gateway.settings.json with the figures of the sheet.
		text, err := json.MarshalIndent(map[string]any{
			"process": name, "domain": zone, "listen": g.callers, "ready-listen": g.ready, "peer-listen": peers[n],
			"metrics-listen": freeAddress(), "store-address": storeOf(n), "seeds": seeds, "memory-mb": 284, "load-spread": true, "cores": 1,
			"store-reads-per-second": 2000, "heartbeat-ms": heartbeat.Milliseconds(), "contact-ms": 3000, "drain-ms": 2000,
			"config-apply-ms": 2000, "shutdown-grace-ms": 8000, "retry-window-ms": 10000, "retry-ratio": 0.2, "retry-slack": 56,
			"load-multiple": 2,
		}, "", " ")
		if err != nil {
			cannotRun("settings: %v", err)
		}
		if err := os.WriteFile(g.settings, text, 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		gateways = append(gateways, g)
	}

	return gateways
}

// start starts the process; its output goes to a file beside its settings.
func (g *gateway) start() {
	output, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	g.command = exec.Command("target/router", "gateway", "--settings", g.settings)
	g.command.Stdout, g.command.Stderr = output, output
	if err := g.command.Start(); err != nil {
		cannotRun("start %s: %v", g.name, err)
	}
	track(g)
	g.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		_ = output.Close()
		close(done)
	}(g.command, g.done)
}

func (g *gateway) signal(s syscall.Signal) {
	_ = g.command.Process.Signal(s)
}

// kill ends the process and waits for that.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.done
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + g.ready + "/ready")
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s does not become ready", g.name)
}

// dial opens a connection to the process as a client does.
func (g *gateway) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", g.callers, time.Second)
}
