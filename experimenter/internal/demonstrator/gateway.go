package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
)

// propagationTimeout is the maximum time until a change in the store shows in responses.
const propagationTimeout = 3 * timekeeper.Second

// GatewayDemonstrator runs the demo against gateways in front of the platform's stand-ins.
type GatewayDemonstrator struct {
	out   io.Writer
	fleet *launcher.GatewayFleet
}

// NewGatewayDemonstrator returns the demo of a running fleet of gateways. It prints the results to out.
func NewGatewayDemonstrator(out io.Writer, f *launcher.GatewayFleet) *GatewayDemonstrator {
	return &GatewayDemonstrator{out: out, fleet: f}
}

// Run runs the steps in order. It stops at the first error, which is ErrUnexpectedResult if a response is wrong.
func (d *GatewayDemonstrator) Run() error {
	for _, step := range []func() error{d.showSession, d.showBooking, d.showDomainOut, d.showKeyRevocation} {
		if err := step(); err != nil {
			return err
		}
	}

	return nil
}

func (d *GatewayDemonstrator) send(gateway int, method, path string, stream bool) (caller.GatewayResponse, error) {
	return caller.SendToGateway(context.Background(), caller.GatewayRequest{
		Address: d.fleet.Gateways[gateway%len(d.fleet.Gateways)].Address("callers"),
		Host:    launcher.GatewayHost, APIKey: launcher.GatewayAPIKey,
		Method: method, Path: path, Stream: stream, SessionID: 0xb2,
	})
}

// showSession sends two streams of one session through different gateways. The same endpoint must serve both.
func (d *GatewayDemonstrator) showSession() error {
	first, err := d.send(0, http.MethodPost, "/drafts/meeting-1", true)
	if err != nil {
		return err
	}
	second, err := d.send(1, http.MethodPost, "/drafts/meeting-1", true)
	if err != nil {
		return err
	}
	events := countEvents(second.Body)
	fmt.Fprintf(d.out, "session:          %d events from %s, and from %s through the other gateway\n",
		events, first.Endpoint, second.Endpoint)
	if first.Endpoint == "" || first.Endpoint != second.Endpoint || events != launcher.DemoEventsPerStream {
		return fmt.Errorf("%w: session %+v, then %+v", ErrUnexpectedResult, first, second)
	}

	return nil
}

// countEvents returns the number of whole events at the start of a stream, which must follow each other.
func countEvents(stream string) int {
	for n := 1; ; n++ {
		rest, isNext := strings.CutPrefix(stream, imitator.Event(n, fmt.Sprintf("piece %d", n)))
		if !isNext {
			return n - 1
		}
		stream = rest
	}
}

// showBooking sends a booking whose response gets lost. It must not be sent again, because it may have run.
func (d *GatewayDemonstrator) showBooking() error {
	if err := d.fleet.SetEndpointFaults("plain-1", `{"lose-answer": true}`); err != nil {
		return err
	}
	r, err := d.send(0, http.MethodPost, "/bookings/lane-7", false)
	if err != nil {
		return err
	}
	executions, err := d.fleet.ExecutionCount(r.AttemptID)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "booking, lost:    status %d, runs: %d\n", r.Status, executions)
	if r.Status != http.StatusBadGateway || executions != 1 {
		return fmt.Errorf("%w: booking %+v ran %d times", ErrUnexpectedResult, r, executions)
	}

	return d.fleet.SetEndpointFaults("plain-1", `{}`)
}

func (d *GatewayDemonstrator) showDomainOut() error {
	if err := d.fleet.EvacuateDomain(0); err != nil {
		return err
	}

	return d.waitForLookup("domain out:", func(r caller.GatewayResponse) bool { return r.Endpoint == "plain-2" })
}

func (d *GatewayDemonstrator) showKeyRevocation() error {
	if err := d.fleet.PublishConfiguration(); err != nil {
		return err
	}

	return d.waitForLookup("key revoked:", func(r caller.GatewayResponse) bool { return r.Status == http.StatusUnauthorized })
}

// waitForLookup sends lookups until a response matches, and prints that response.
func (d *GatewayDemonstrator) waitForLookup(label string, matches func(caller.GatewayResponse) bool) error {
	for deadline := time.Now().Add(propagationTimeout.Duration()); ; time.Sleep(10 * time.Millisecond) {
		r, err := d.send(0, http.MethodGet, "/lookups/record-1", false)
		if err != nil {
			return err
		}
		if matches(r) {
			fmt.Fprintf(d.out, "%-17s status %d %s\n", label, r.Status, r.Endpoint)

			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s %+v", ErrUnexpectedResult, label, r)
		}
	}
}
