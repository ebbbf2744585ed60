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

// pageCommands returns the shell blocks of docs/OPERATIONS.md by their labels.
func pageCommands(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must(t, err)
	blocks := map[string]string{}
	for _, part := range strings.Split(string(page), "```sh ")[1:] {
		label, rest, _ := strings.Cut(part, "\n")
		blocks[label], _, _ = strings.Cut(rest, "```")
	}

	return blocks
}

// The commands of docs/OPERATIONS.md must find the cause of a failed request in the logs by its attempt ID. They match names
// and fields of log events.
func TestOperationsPageCommandsFindFailureCause(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	must(t, err)
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines, s.PlainEndpoints, s.Logs = 1, 1, 1, log })
	must(t, f.SetEndpointFaults("engine-1", `{"cut-after": 3}`))
	stream := newGatewayCall(f.Gateways[0], http.MethodPost, draftsPath).asStream()
	stream.send(t.Context())
	must(t, f.SetEndpointFaults("plain-1", `{"lose-answer": true}`))
	booking := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath)
	booking.mustSend(t)
	must(t, f.DeregisterEndpoint("plain-1"))
	waitFor(t, "requests are refused after the endpoint was removed", 3*time.Second, func() bool {
		return newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath).mustSend(t).status == http.StatusServiceUnavailable
	})
	refused := newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath)
	refused.mustSend(t)
	time.Sleep(100 * time.Millisecond)

	cases := []struct {
		label     string
		attemptID string
		want      []string
	}{
		{"all", booking.attemptID, []string{"gateway-1 attempt-failed", "gateway-1 request-refused"}},
		{"refusal", refused.attemptID, []string{"code=no-endpoint", "outcome=not-run", "retry-after-ms=", "endpoint=plain-1"}},
		{"cut", stream.attemptID, []string{"name=stream-cut", "unexpected EOF", "other failures at endpoint=engine-1: 0"}},
		{"booking", booking.attemptID, []string{"endpoint=plain-1", "may-have-run=true", "attempts=1", "status=502", "outcome=unknown"}},
	}
	blocks := pageCommands(t)
	for _, c := range cases {
		t.Run(c.label, func(t *testing.T) {
			shell := exec.Command("sh", "-c", blocks[c.label])
			shell.Env = append(os.Environ(), "LOG="+log.Name(), "ID="+c.attemptID)
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
