package sloper

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
)

const (
	// engineCount and plainCount are the numbers of engine and plain service endpoints of each measured fleet.
	engineCount = 12
	plainCount  = 2
	// A stream has eventsPerStream events, one every eventInterval. The next stream of a worker starts streamPause after its
	// end.
	eventsPerStream = 40
	eventInterval   = 25 * timekeeper.Millis(1)
	streamPause     = 100 * timekeeper.Millis(1)
	// streamsPerGateway is the number of concurrent streams at each gateway under load.
	streamsPerGateway = 8
	// sessionsPerWorker is the number of session IDs that a worker uses in turn for its streams.
	sessionsPerWorker = 40
	// settleTime lets the gateways discover each other, or the streams start, before usage is measured over sampleTime.
	settleTime = 6 * timekeeper.Second
	sampleTime = 10 * timekeeper.Second
)

var gatewayCounts = []int{4, 16, 48}

// resourceUsage is the resource usage of a gateway process since its start: control traffic in both directions and processor
// time. The resident memory is the current one.
type resourceUsage struct {
	controlKB, cpuSeconds, residentMB float64
}

// MeasureGateways launches fleets of several sizes from the programs in binDir and prints the resource usage of their
// gateways, idle and under load, as a Markdown table.
func MeasureGateways(out io.Writer, binDir string) error {
	fmt.Fprintln(out, "| gateways | load | control KB/s, mean, most | processor, % of a core, mean, most | resident MB, most |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	for _, count := range gatewayCounts {
		if err := measureGatewayFleet(out, binDir, count); err != nil {
			return err
		}
	}

	return nil
}

func measureGatewayFleet(out io.Writer, binDir string, gatewayCount int) error {
	fleet, err := launcher.LaunchGateways(launcher.GatewaySpec{
		BinDir: binDir, Gateways: gatewayCount, Engines: engineCount, PlainEndpoints: plainCount,
		EventsPerStream: eventsPerStream, EventInterval: eventInterval, Logs: io.Discard,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	time.Sleep(settleTime.Duration())
	if err := printUsage(out, fleet, "idle"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for g, p := range fleet.Gateways {
		for n := range streamsPerGateway {
			workers.Go(func() { runStreams(ctx, p, g*streamsPerGateway+n) })
		}
	}
	time.Sleep(settleTime.Duration())
	err = printUsage(out, fleet, fmt.Sprintf("%d streams each", streamsPerGateway))
	cancel()
	workers.Wait()

	return err
}

// runStreams requests one stream after another from a gateway until the context ends. It ignores errors, since the streams
// only generate load.
func runStreams(ctx context.Context, gateway *launcher.Process, firstSession int) {
	for n := 0; timekeeper.Sleep(ctx, streamPause); n++ {
		_, _ = caller.SendToGateway(ctx, caller.GatewayRequest{
			Address: gateway.Address("callers"), Host: launcher.GatewayHost, APIKey: launcher.GatewayAPIKey,
			Method: http.MethodPost, Path: "/drafts/1", Stream: true, SessionID: uint64(firstSession + n%sessionsPerWorker + 1),
		})
	}
}

// printUsage prints the mean and highest resource usage of the gateways over sampleTime.
func printUsage(out io.Writer, fleet *launcher.GatewayFleet, load string) error {
	before, err := readUsage(fleet.Gateways)
	if err != nil {
		return err
	}
	time.Sleep(sampleTime.Duration())
	after, err := readUsage(fleet.Gateways)
	if err != nil {
		return err
	}
	var controlKBPerSecond, cpuPercent, residentMB []float64
	seconds := sampleTime.Duration().Seconds()
	for i := range after {
		controlKBPerSecond = append(controlKBPerSecond, (after[i].controlKB-before[i].controlKB)/seconds)
		cpuPercent = append(cpuPercent, 100*(after[i].cpuSeconds-before[i].cpuSeconds)/seconds)
		residentMB = append(residentMB, after[i].residentMB)
	}
	fmt.Fprintf(out, "| %d | %s | %.2f, %.2f | %.2f, %.2f | %.1f |\n", len(after), load,
		mean(controlKBPerSecond), slices.Max(controlKBPerSecond), mean(cpuPercent), slices.Max(cpuPercent), slices.Max(residentMB))

	return nil
}

// readUsage returns the resource usage of each gateway, in the given order.
func readUsage(gateways []*launcher.Process) ([]resourceUsage, error) {
	var usages []resourceUsage
	for _, g := range gateways {
		controlBytes, err := readControlBytes(g)
		if err != nil {
			return nil, err
		}
		cpuSeconds, err := g.CPUSeconds()
		if err != nil {
			return nil, err
		}
		residentMB, err := g.ResidentMemoryMB()
		if err != nil {
			return nil, err
		}
		usages = append(usages, resourceUsage{controlKB: controlBytes / 1000, cpuSeconds: cpuSeconds, residentMB: residentMB})
	}

	return usages, nil
}

// readControlBytes reads control_bytes_total from the metrics page of a gateway.
func readControlBytes(gateway *launcher.Process) (float64, error) {
	metrics, err := launcher.Fetch("http://" + gateway.Address("metrics") + "/metrics")
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(metrics, "control_bytes_total ")
	if !ok {
		return 0, fmt.Errorf("sloper: metrics of %s lack control_bytes_total", gateway.Name)
	}
	value, _, _ := strings.Cut(rest, "\n")
	total, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, fmt.Errorf("sloper: invalid control_bytes_total of %s: %w", gateway.Name, err)
	}

	return total, nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}

	return sum / float64(max(len(values), 1))
}
