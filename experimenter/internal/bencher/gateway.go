package bencher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
)

const (
	openStreams = 200
	// settleSpan lets streams begin before memory is read.
	settleSpan = timekeeper.Second
	pacedGets  = 200
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
		before, err := gateway.ProcessorTime()
		if err != nil {
			return err
		}
		samples, failed := load(t, pacedWorkers, pacedGets)
		print(out, t.name, samples, failed)
		after, err := gateway.ProcessorTime()
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
	memory, err := g.ResidentMB()
	cancel()
	w.Wait()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "resident with %d open streams: %.1f MB\n", openStreams, memory)

	return nil
}
