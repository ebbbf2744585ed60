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
	// fleetEngines and fleetPlains are the endpoints before which gateways are measured.
	fleetEngines = 12
	fleetPlains  = 2
	// A stream of a loaded gateway runs for fleetEvents times fleetGap, and the next one begins after fleetPause.
	fleetEvents = 40
	fleetGap    = 25 * timekeeper.Millis(1)
	fleetPause  = 100 * timekeeper.Millis(1)
	// fleetStreams is the number of streams that a loaded gateway has open.
	fleetStreams = 8
	// fleetSessions is the number of sessions that the streams of a gateway take in turn.
	fleetSessions = 40
	// fleetSettle lets the gateways meet before they are measured over fleetSpan.
	fleetSettle = 6 * timekeeper.Second
	fleetSpan   = 10 * timekeeper.Second
)

var gatewaySizes = []int{4, 16, 48}

// usage is what one gateway uses: control traffic in both directions, processor time of one core, resident memory.
type usage struct {
	kilobytes, share, resident float64
}

// MeasureGateways prints what gateways of fleets of several sizes use, idle and with open streams.
func MeasureGateways(out io.Writer, programs string) error {
	fmt.Fprintln(out, "| gateways | load | control KB/s, mean, most | processor, % of a core, mean, most | resident MB, most |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	for _, size := range gatewaySizes {
		if err := measureFleet(out, programs, size); err != nil {
			return err
		}
	}

	return nil
}

func measureFleet(out io.Writer, programs string, size int) error {
	f, err := launcher.LaunchGateways(launcher.GatewaySpec{
		Programs: programs, Gateways: size, Engines: fleetEngines, Plains: fleetPlains, Events: fleetEvents, Gap: fleetGap, Logs: io.Discard,
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	time.Sleep(fleetSettle.Duration())
	if err := printUsage(out, f, "idle"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	for g, p := range f.Gateways {
		for n := range fleetStreams {
			w.Go(func() { stream(ctx, p, g*fleetStreams+n) })
		}
	}
	time.Sleep(fleetSettle.Duration())
	err = printUsage(out, f, fmt.Sprintf("%d streams each", fleetStreams))
	cancel()
	w.Wait()

	return err
}

// stream asks a gateway for one stream after the other; each counts only as load.
func stream(ctx context.Context, p *launcher.Process, first int) {
	for n := 0; timekeeper.Sleep(ctx, fleetPause); n++ {
		_, _ = caller.SendToGateway(ctx, caller.GatewayCall{
			Address: p.Address("callers"), Host: launcher.GatewayHost, Key: launcher.GatewayKey,
			Method: http.MethodPost, Path: "/drafts/1", Stream: true, Session: uint64(first + n%fleetSessions + 1),
		})
	}
}

func printUsage(out io.Writer, f *launcher.GatewayFleet, load string) error {
	before, err := usagesOf(f.Gateways)
	if err != nil {
		return err
	}
	time.Sleep(fleetSpan.Duration())
	after, err := usagesOf(f.Gateways)
	if err != nil {
		return err
	}
	var kilobytes, shares, resident []float64
	seconds := fleetSpan.Duration().Seconds()
	for i := range after {
		kilobytes = append(kilobytes, (after[i].kilobytes-before[i].kilobytes)/seconds)
		shares = append(shares, 100*(after[i].share-before[i].share)/seconds)
		resident = append(resident, after[i].resident)
	}
	fmt.Fprintf(out, "| %d | %s | %.2f, %.2f | %.2f, %.2f | %.1f |\n", len(after), load,
		mean(kilobytes), slices.Max(kilobytes), mean(shares), slices.Max(shares), slices.Max(resident))

	return nil
}

// usagesOf reads the totals since the start of each process; share is in seconds.
func usagesOf(ps []*launcher.Process) ([]usage, error) {
	var all []usage
	for _, p := range ps {
		bytes, err := controlBytes(p)
		if err != nil {
			return nil, err
		}
		seconds, err := p.ProcessorTime()
		if err != nil {
			return nil, err
		}
		resident, err := p.ResidentMB()
		if err != nil {
			return nil, err
		}
		all = append(all, usage{kilobytes: bytes / 1000, share: seconds, resident: resident})
	}

	return all, nil
}

func controlBytes(p *launcher.Process) (float64, error) {
	page, err := launcher.Fetch("http://" + p.Address("metrics") + "/metrics")
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(page, "control_bytes_total ")
	if !ok {
		return 0, fmt.Errorf("sloper: %s counts no control bytes", p.Name)
	}
	line, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseFloat(line, 64)
	if err != nil {
		return 0, fmt.Errorf("sloper: control bytes of %s: %w", p.Name, err)
	}

	return n, nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}

	return sum / float64(max(len(values), 1))
}
