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
)

// takeEffect is how long a change of the store may take until the demo sees it.
const takeEffect = 3 * timekeeper.Second

// GatewayDemonstrator runs the steps of the demo before the platform's stand-ins.
type GatewayDemonstrator struct {
	out   io.Writer
	fleet *launcher.GatewayFleet
}

// NewGatewayDemonstrator returns the demo of a running fleet of gateways.
func NewGatewayDemonstrator(out io.Writer, f *launcher.GatewayFleet) *GatewayDemonstrator {
	return &GatewayDemonstrator{out: out, fleet: f}
}

// Run runs every step and returns ErrWrong at the first wrong result.
func (d *GatewayDemonstrator) Run() error {
	for _, step := range []func() error{d.sessions, d.booking, d.domainOut, d.revoked} {
		if err := step(); err != nil {
			return err
		}
	}

	return nil
}

func (d *GatewayDemonstrator) send(gateway int, method, path string, stream bool) (caller.GatewayReply, error) {
	return caller.SendToGateway(context.Background(), caller.GatewayCall{
		Address: d.fleet.Gateways[gateway%len(d.fleet.Gateways)].Address("callers"),
		Host:    launcher.GatewayHost, Key: launcher.GatewayKey,
		Method: method, Path: path, Stream: stream, Session: 0xb2,
	})
}

func (d *GatewayDemonstrator) sessions() error {
	first, err := d.send(0, http.MethodPost, "/drafts/meeting-1", true)
	if err != nil {
		return err
	}
	again, err := d.send(1, http.MethodPost, "/drafts/meeting-1", true)
	if err != nil {
		return err
	}
	events := strings.Count(again.Body, "id: ")
	fmt.Fprintf(d.out, "session:          %d events from %s, and from %s through the other gateway\n", events, first.Endpoint, again.Endpoint)
	if first.Endpoint == "" || first.Endpoint != again.Endpoint || events != launcher.DemoEvents {
		return fmt.Errorf("%w: session %+v, then %+v", ErrWrong, first, again)
	}

	return nil
}

func (d *GatewayDemonstrator) booking() error {
	if err := d.fleet.EndpointFaults("plain-1", `{"lose-answer": true}`); err != nil {
		return err
	}
	r, err := d.send(0, http.MethodPost, "/bookings/lane-7", false)
	if err != nil {
		return err
	}
	runs, err := d.fleet.RunsOf(r.Attempt)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "booking, lost:    status %d, runs: %d\n", r.Status, runs)
	if r.Status != http.StatusBadGateway || runs != 1 {
		return fmt.Errorf("%w: booking %+v ran %d times", ErrWrong, r, runs)
	}

	return d.fleet.EndpointFaults("plain-1", `{}`)
}

func (d *GatewayDemonstrator) domainOut() error {
	if err := d.fleet.TakeOut(0); err != nil {
		return err
	}

	return d.await("domain out:", func(r caller.GatewayReply) bool { return r.Endpoint == "plain-2" })
}

func (d *GatewayDemonstrator) revoked() error {
	if err := d.fleet.Configure(); err != nil {
		return err
	}

	return d.await("key revoked:", func(r caller.GatewayReply) bool { return r.Status == http.StatusUnauthorized })
}

// await sends lookups until one shows the effect of a change.
func (d *GatewayDemonstrator) await(label string, shows func(caller.GatewayReply) bool) error {
	for end := time.Now().Add(takeEffect.Duration()); ; time.Sleep(10 * time.Millisecond) {
		r, err := d.send(0, http.MethodGet, "/lookups/record-1", false)
		if err != nil {
			return err
		}
		if shows(r) {
			fmt.Fprintf(d.out, "%-17s status %d %s\n", label, r.Status, r.Endpoint)

			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s %+v", ErrWrong, label, r)
		}
	}
}
