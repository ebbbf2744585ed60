package demonstrator

import (
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
)

// ErrUnexpectedResult means that a step of the demo did not have the expected result.
var ErrUnexpectedResult = errors.New("demonstrator: unexpected result")

const maxStreamTokens = 24

// Demonstrator runs the demo against a fleet of routers.
type Demonstrator struct {
	out     io.Writer
	fleet   *launcher.Fleet
	clients []*caller.Client
}

// NewDemonstrator returns the demo of a running fleet. It prints the results to out.
func NewDemonstrator(out io.Writer, f *launcher.Fleet) *Demonstrator {
	d := &Demonstrator{out: out, fleet: f}
	for _, r := range f.Routers {
		d.clients = append(d.clients, caller.NewClient(r.Address("callers"), launcher.CallerToken))
	}

	return d
}

// Run runs the steps in order. It stops at the first error, which is ErrUnexpectedResult if a response is wrong.
func (d *Demonstrator) Run() error {
	for _, step := range []func() error{d.showChats, d.showLookup, d.showBooking, d.showRefusal} {
		if err := step(); err != nil {
			return err
		}
	}

	return nil
}

func (d *Demonstrator) printf(format string, arguments ...any) {
	fmt.Fprintf(d.out, format+"\n", arguments...)
}

// showChats sends two turns of a chat through different routers. The second must reach the endpoint that has the first in
// its prefix cache.
func (d *Demonstrator) showChats() error {
	messages := []caller.Message{
		{Role: "system", Content: "You review the form of archers after each session, in detail and with care."},
		{Role: "user", Content: "My release drifts to the left at forty metres. What should I look at first?"},
	}
	firstTurn, err := d.clients[0].Chat(string(launcher.Model), messages, true, maxStreamTokens, nil)
	if err != nil {
		return err
	}
	d.printf("streamed chat:    %d pieces from %s, %s, whole: %t",
		firstTurn.Chunks, firstTurn.Endpoint, cacheSummary(firstTurn), firstTurn.IsComplete)
	if !firstTurn.IsComplete || firstTurn.Chunks != maxStreamTokens {
		return fmt.Errorf("%w: streamed chat %+v", ErrUnexpectedResult, firstTurn)
	}
	messages = append(messages,
		caller.Message{Role: "assistant", Content: firstTurn.Text},
		caller.Message{Role: "user", Content: "And the follow-through?"})
	secondTurn, err := d.clients[1%len(d.clients)].Chat(string(launcher.Model), messages, true, maxStreamTokens, nil)
	if err != nil {
		return err
	}
	d.printf("the chat returns: %d pieces from %s, %s, whole: %t",
		secondTurn.Chunks, secondTurn.Endpoint, cacheSummary(secondTurn), secondTurn.IsComplete)
	if !secondTurn.IsComplete || secondTurn.CachedTokens == 0 || secondTurn.Endpoint != firstTurn.Endpoint {
		return fmt.Errorf("%w: returning chat %+v", ErrUnexpectedResult, secondTurn)
	}

	return nil
}

func cacheSummary(r caller.Response) string {
	if r.CachedTokens == 0 {
		return fmt.Sprintf("cache miss (0 of %d tokens)", r.PromptTokens)
	}

	return fmt.Sprintf("cache hit (%d of %d tokens)", r.CachedTokens, r.PromptTokens)
}

func (d *Demonstrator) showLookup() error {
	r, err := d.clients[0].Call("GET", "/services/lane-app/lookup/lane-7", nil, nil)
	if err != nil {
		return err
	}
	d.printf("lookup:           status %d from %s: %s", r.Status, r.Endpoint, truncate(r.Text))
	if r.Status != 200 {
		return fmt.Errorf("%w: lookup %+v", ErrUnexpectedResult, r)
	}

	return nil
}

// showBooking sends a booking twice under one idempotency key through different routers. The second must be replayed.
func (d *Demonstrator) showBooking() error {
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("demonstrator: create idempotency key: %w", err)
	}
	headers := map[string]string{"Idempotency-Key": key.String()}
	body := []byte(`{"lane": 7, "hour": 18}`)
	for n, c := range []*caller.Client{d.clients[0], d.clients[1%len(d.clients)]} {
		r, err := c.Call("POST", "/services/lane-app/bookings", body, headers)
		if err != nil {
			return err
		}
		d.printf("booking, send %d:  status %d from %s, replayed: %t: %s", n+1, r.Status, r.Endpoint, r.IsReplayed, truncate(r.Text))
		if r.Status != 201 || r.IsReplayed != (n == 1) {
			return fmt.Errorf("%w: booking %+v", ErrUnexpectedResult, r)
		}
	}
	executions, err := d.fleet.ExecutionCount(key.String())
	if err != nil {
		return err
	}
	d.printf("booking runs:     %d", executions)
	if executions != 1 {
		return fmt.Errorf("%w: the booking ran %d times", ErrUnexpectedResult, executions)
	}

	return nil
}

func (d *Demonstrator) showRefusal() error {
	r, err := d.clients[0].Call("POST", "/services/lane-app/bookings", []byte(`{}`), nil)
	if err != nil {
		return err
	}
	d.printf("booking, no key:  status %d, code %s, outcome %s", r.Status, r.Code, r.Outcome)
	if r.Status != 400 || r.Outcome != "not-run" {
		return fmt.Errorf("%w: booking without a key %+v", ErrUnexpectedResult, r)
	}

	return nil
}

// truncate shortens a response for output and removes trailing newlines.
func truncate(s string) string {
	const maxLength = 70
	if len(s) > maxLength {
		s = s[:maxLength] + "..."
	}
	for len(s) > 0 && s[len(s)-1] == '\n' {
		s = s[:len(s)-1]
	}

	return s
}
