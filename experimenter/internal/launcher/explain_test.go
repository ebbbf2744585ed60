package launcher_test

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

// commands returns the labelled shell blocks of the operators' page.
func commands(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must(t, err)
	found := map[string]string{}
	for _, part := range strings.Split(string(page), "```sh ")[1:] {
		label, rest, _ := strings.Cut(part, "\n")
		found[label], _, _ = strings.Cut(rest, "```")
	}

	return found
}

// The commands of the page lead from the id of a failed request to its cause.
func TestOperatorsFindTheCause(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	must(t, err)
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines, s.Plains, s.Logs = 1, 1, 1, log })
	must(t, f.EndpointFaults("engine-1", `{"cut-after": 3}`))
	stream := newCall(f.Gateways[0], http.MethodPost, drafts).stream()
	stream.send(t.Context())
	must(t, f.EndpointFaults("plain-1", `{"lose-answer": true}`))
	booking := newCall(f.Gateways[0], http.MethodPost, bookings)
	booking.get(t)
	must(t, f.Unlist("plain-1"))
	eventually(t, "the endpoint is gone", 3*time.Second, func() bool {
		return newCall(f.Gateways[0], http.MethodGet, lookups).get(t).status == http.StatusServiceUnavailable
	})
	refused := newCall(f.Gateways[0], http.MethodGet, lookups)
	refused.get(t)
	time.Sleep(100 * time.Millisecond)

	cases := []struct {
		label string
		id    string
		want  []string
	}{
		{"all", booking.attempt, []string{"gateway-1 attempt-failed", "gateway-1 request-refused"}},
		{"refusal", refused.attempt, []string{"code=no-endpoint", "outcome=not-run", "retry-after-ms=", "endpoint=plain-1"}},
		{"cut", stream.attempt, []string{"name=stream-cut", "unexpected EOF", "other failures at endpoint=engine-1: 0"}},
		{"booking", booking.attempt, []string{"endpoint=plain-1", "may-have-run=true", "attempts=1", "status=502", "outcome=unknown"}},
	}
	blocks := commands(t)
	for _, c := range cases {
		t.Run(c.label, func(t *testing.T) {
			shell := exec.Command("sh", "-c", blocks[c.label])
			shell.Env = append(os.Environ(), "LOG="+log.Name(), "ID="+c.id)
			out, err := shell.CombinedOutput()
			must(t, err)
			for _, w := range c.want {
				if !strings.Contains(string(out), w) {
					t.Errorf("no %q in:\n%s", w, out)
				}
			}
		})
	}
}
