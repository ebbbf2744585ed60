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
	openStreamCount = 200
	// settleTime lets the streams start before the memory usage is read.
	settleTime = timekeeper.Second
	// gatewayRequestsPerSecond is the total rate of the paced workers.
	gatewayRequestsPerSecond = 200
)

// RunGateway loads the endpoints of a fleet directly and through the first gateway, and prints a row for each target, the
// processor time of the gateway per request and its memory usage with open streams. It returns an error if the usage of the
// gateway process cannot be read.
func RunGateway(out io.Writer, fleet *launcher.GatewayFleet) error {
	gateway := fleet.Gateways[0]
	lookupCall := caller.GatewayRequest{Host: launcher.GatewayHost, APIKey: launcher.GatewayAPIKey}
	streamCall := lookupCall
	streamCall.Stream, streamCall.SessionID = true, 0xb2
	newTarget := func(name string, process *launcher.Process, purpose, method, path string, call caller.GatewayRequest) target {
		return target{name, "http://" + process.Address(purpose) + path, method, "", call.Stream, call.Headers("bench"), launcher.GatewayHost}
	}
	targets := []target{
		newTarget("lookup, direct", fleet.Endpoints["plain-1"], "standin", fasthttp.MethodGet, "/lookups/1", lookupCall),
		newTarget("lookup, gateway", gateway, "callers", fasthttp.MethodGet, "/lookups/1", lookupCall),
		newTarget("stream, direct", fleet.Endpoints["engine-1"], "standin", fasthttp.MethodPost, "/drafts/1", streamCall),
		newTarget("stream, gateway", gateway, "callers", fasthttp.MethodPost, "/drafts/1", streamCall),
	}
	printHeader(out)
	for _, t := range targets {
		cpuBefore, err := gateway.CPUSeconds()
		if err != nil {
			return err
		}
		results, failedCount := runLoad(t, pacedWorkers, gatewayRequestsPerSecond)
		printRow(out, t.name, results, failedCount)
		cpuAfter, err := gateway.CPUSeconds()
		if err != nil {
			return err
		}
		if len(results) > 0 {
			fmt.Fprintf(out, "%-28s %.0f us of processor time a request in the gateway\n", "", (cpuAfter-cpuBefore)*1e6/float64(len(results)))
		}
	}

	return printOpenStreamMemory(out, gateway, streamCall)
}

// printOpenStreamMemory prints the resident memory of a gateway with openStreamCount open streams.
func printOpenStreamMemory(out io.Writer, gateway *launcher.Process, call caller.GatewayRequest) error {
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	call.Address, call.Method, call.Path = gateway.Address("callers"), http.MethodPost, "/drafts/1"
	for range openStreamCount {
		streams.Go(func() { _, _ = caller.SendToGateway(ctx, call) })
	}
	time.Sleep(settleTime.Duration())
	residentMB, err := gateway.ResidentMemoryMB()
	cancel()
	streams.Wait()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "resident with %d open streams: %.1f MB\n", openStreamCount, residentMB)

	return nil
}
