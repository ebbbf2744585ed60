package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

const (
	edits    = "/edits/section-1"
	drafts   = "/drafts/meeting-1"
	lookups  = "/lookups/record-1"
	bookings = "/bookings/lane-7"
)

func launchGateways(t *testing.T, change func(*launcher.GatewaySpec)) *launcher.GatewayFleet {
	t.Helper()
	spec := launcher.GatewaySpec{
		Programs: os.Getenv("CARDAMOMPULLEY_BIN"), Gateways: 2, Engines: 2, Plains: 2, Events: 20, Gap: 5, Logs: io.Discard,
	}
	if change != nil {
		change(&spec)
	}
	f, err := launcher.LaunchGateways(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)

	return f
}

var attempts atomic.Int64

// call is one request of a caller with the platform's headers.
type call struct {
	gateway *launcher.Process
	method  string
	path    string
	host    string
	body    string
	header  map[string]string
	attempt string
}

func newCall(g *launcher.Process, method, path string) *call {
	return &call{
		gateway: g, method: method, path: path, host: launcher.GatewayHost,
		attempt: fmt.Sprintf("attempt-%d", attempts.Add(1)),
		header:  map[string]string{"Cardamompulley-Key": launcher.GatewayKey, "Cardamompulley-Deadline-Ms": "4000"},
	}
}

func (c *call) stream() *call {
	c.header["Cardamompulley-Model"] = "m"
	c.header["Cardamompulley-Token-Counts"] = "120,80"
	c.header["Cardamompulley-Prompt-Prefix"] = "a1:50,b2:50,c3:20"

	return c
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *call) send(ctx context.Context) reply {
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.Address("callers")+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = c.host
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	if c.attempt != "" {
		r.Header.Set("Cardamompulley-Attempt-Id", c.attempt)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (c *call) get(t *testing.T) reply {
	t.Helper()
	a := c.send(t.Context())
	if a.err != nil {
		t.Fatalf("%s %s: %v", c.method, c.path, a.err)
	}

	return a
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, span time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(span); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", span, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// settle waits until new gateways spend their shares of the retry budget.
func settle() {
	time.Sleep(1600 * time.Millisecond)
}

func runsOf(t *testing.T, f *launcher.GatewayFleet, attempt string) int {
	t.Helper()
	n, err := f.RunsOf(attempt)
	must(t, err)

	return n
}
