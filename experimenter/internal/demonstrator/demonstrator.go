package demonstrator

import (
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"cardamompulley/experimenter/internal/caller"
	"cardamompulley/experimenter/internal/launcher"
)

// ErrWrong means that the demo saw something that must not be.
var ErrWrong = errors.New("demonstrator: wrong result")

const streamTokens = 24

// Demonstrator runs the steps of the demo against a fleet.
type Demonstrator struct {
	out     io.Writer
	fleet   *launcher.Fleet
	callers []*caller.Caller
}

// NewDemonstrator returns the demo of a running fleet.
func NewDemonstrator(out io.Writer, f *launcher.Fleet) *Demonstrator {
	d := &Demonstrator{out: out, fleet: f}
	for _, r := range f.Routers {
		d.callers = append(d.callers, caller.NewCaller(r.Address("callers"), launcher.CallerToken))
	}

	return d
}

// Run runs every step and returns ErrWrong at the first wrong result.
func (d *Demonstrator) Run() error {
	for _, step := range []func() error{d.chats, d.lookup, d.booking, d.refusals} {
		if err := step(); err != nil {
			return err
		}
	}

	return nil
}

func (d *Demonstrator) say(format string, arguments ...any) {
	fmt.Fprintf(d.out, format+"\n", arguments...)
}

func (d *Demonstrator) chats() error {
	messages := []caller.Message{
		{Role: "system", Content: "You review the form of archers after each session, in detail and with care."},
		{Role: "user", Content: "My release drifts to the left at forty metres. What should I look at first?"},
	}
	first, err := d.callers[0].Chat(string(launcher.Model), messages, true, streamTokens, nil)
	if err != nil {
		return err
	}
	d.say("streamed chat:    %d pieces from %s, %s, whole: %t", first.Pieces, first.Endpoint, cacheWord(first), first.Whole)
	if !first.Whole || first.Pieces != streamTokens {
		return fmt.Errorf("%w: streamed chat %+v", ErrWrong, first)
	}
	messages = append(messages,
		caller.Message{Role: "assistant", Content: first.Text},
		caller.Message{Role: "user", Content: "And the follow-through?"})
	again, err := d.callers[1%len(d.callers)].Chat(string(launcher.Model), messages, true, streamTokens, nil)
	if err != nil {
		return err
	}
	d.say("the chat returns: %d pieces from %s, %s, whole: %t", again.Pieces, again.Endpoint, cacheWord(again), again.Whole)
	if !again.Whole || again.Cached == 0 || again.Endpoint != first.Endpoint {
		return fmt.Errorf("%w: returning chat %+v", ErrWrong, again)
	}

	return nil
}

func cacheWord(r caller.Reply) string {
	if r.Cached == 0 {
		return fmt.Sprintf("cache miss (0 of %d tokens)", r.Prompt)
	}

	return fmt.Sprintf("cache hit (%d of %d tokens)", r.Cached, r.Prompt)
}

func (d *Demonstrator) lookup() error {
	r, err := d.callers[0].Call("GET", "/services/lane-app/lookup/lane-7", nil, nil)
	if err != nil {
		return err
	}
	d.say("lookup:           status %d from %s: %s", r.Status, r.Endpoint, trim(r.Text))
	if r.Status != 200 {
		return fmt.Errorf("%w: lookup %+v", ErrWrong, r)
	}

	return nil
}

func (d *Demonstrator) booking() error {
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("demonstrator: key: %w", err)
	}
	headers := map[string]string{"Idempotency-Key": key.String()}
	body := []byte(`{"lane": 7, "hour": 18}`)
	for n, c := range []*caller.Caller{d.callers[0], d.callers[1%len(d.callers)]} {
		r, err := c.Call("POST", "/services/lane-app/bookings", body, headers)
		if err != nil {
			return err
		}
		d.say("booking, send %d:  status %d from %s, replayed: %t: %s", n+1, r.Status, r.Endpoint, r.Replayed, trim(r.Text))
		if r.Status != 201 || r.Replayed != (n == 1) {
			return fmt.Errorf("%w: booking %+v", ErrWrong, r)
		}
	}
	runs, err := d.fleet.Runs(key.String())
	if err != nil {
		return err
	}
	d.say("booking runs:     %d", runs)
	if runs != 1 {
		return fmt.Errorf("%w: the booking ran %d times", ErrWrong, runs)
	}

	return nil
}

func (d *Demonstrator) refusals() error {
	r, err := d.callers[0].Call("POST", "/services/lane-app/bookings", []byte(`{}`), nil)
	if err != nil {
		return err
	}
	d.say("booking, no key:  status %d, code %s, outcome %s", r.Status, r.Code, r.Outcome)
	if r.Status != 400 || r.Outcome != "not-run" {
		return fmt.Errorf("%w: booking without a key %+v", ErrWrong, r)
	}

	return nil
}

func trim(s string) string {
	const shown = 70
	if len(s) > shown {
		s = s[:shown] + "..."
	}
	for len(s) > 0 && s[len(s)-1] == '\n' {
		s = s[:len(s)-1]
	}

	return s
}
