package bencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
)

// errStat means that the kernel's figures of a process could not be read.
var errStat = errors.New("bencher: no figures of a process")

const (
	openStreams = 200
	// settleSpan lets streams begin before memory is read.
	settleSpan = timekeeper.Second
	pacedGets  = 200
	// ticksPerSecond is the unit of processor time in the kernel's figures.
	ticksPerSecond = 100
)

// RunGateways loads the gateway's way beside the direct one, and reports its processor time and memory.
func RunGateways(out io.Writer, f *launcher.GatewayFleet) error {
	gateway := f.Gateways[0]
	call := caller.GatewayCall{Host: launcher.GatewayHost, Key: launcher.GatewayKey}
	chat := call
	chat.Stream, chat.Session = true, 0xb2
	row := func(name string, p *launcher.Process, purpose, method, path string, c caller.GatewayCall) target {
		return target{name, "http://" + p.Address(purpose) + path, method, "", c.Stream, c.Headers("bench"), launcher.GatewayHost}
	}
	rows := []target{
		row("lookup, direct", f.Endpoints["plain-1"], "standin", fasthttp.MethodGet, "/lookups/1", call),
		row("lookup, gateway", gateway, "callers", fasthttp.MethodGet, "/lookups/1", call),
		row("stream, direct", f.Endpoints["engine-1"], "standin", fasthttp.MethodPost, "/drafts/1", chat),
		row("stream, gateway", gateway, "callers", fasthttp.MethodPost, "/drafts/1", chat),
	}
	printHead(out)
	for _, t := range rows {
		before, err := processorTime(gateway.ID())
		if err != nil {
			return err
		}
		samples, failed := load(t, pacedWorkers, pacedGets)
		print(out, t.name, samples, failed)
		after, err := processorTime(gateway.ID())
		if err != nil {
			return err
		}
		if len(samples) > 0 {
			fmt.Fprintf(out, "%-28s %.0f us of processor time a request in the gateway\n", "", (after-before)*1e6/float64(len(samples)))
		}
	}

	return reportMemory(out, gateway, chat)
}

// reportMemory reads the resident memory of a gateway with many open streams.
func reportMemory(out io.Writer, g *launcher.Process, chat caller.GatewayCall) error {
	ctx, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	chat.Address, chat.Method, chat.Path = g.Address("callers"), http.MethodPost, "/drafts/1"
	for range openStreams {
		w.Go(func() { _, _ = caller.SendToGateway(ctx, chat) })
	}
	time.Sleep(settleSpan.Duration())
	memory, err := residentMB(g.ID())
	cancel()
	w.Wait()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "resident with %d open streams: %.1f MB\n", openStreams, memory)

	return nil
}

// processorTime returns the seconds of processor time that a process has used.
func processorTime(id int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStat, err)
	}
	const userField, systemField = 11, 12
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStat, err)
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStat, err)
	}

	return (user + system) / ticksPerSecond, nil
}

func residentMB(id int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStat, err)
	}
	_, rest, ok := strings.Cut(string(raw), "VmRSS:")
	if !ok {
		return 0, fmt.Errorf("%w: process %d", errStat, id)
	}
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStat, err)
	}

	return kb / 1024, nil
}
