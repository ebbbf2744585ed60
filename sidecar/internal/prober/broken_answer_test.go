package prober

import (
	"io"
	"net"
	"strings"
	"testing"

	"cardamompulley/fleet/scripter"
)

const report = `{"boot": "b-1", "running": 1, "cold": false}`

// probeAnswers probes an endpoint that gives each of the answers to one probe, and returns the changes that the prober sees.
func probeAnswers(t *testing.T, answers ...string) []StateChange {
	t.Helper()
	script := make(chan string, len(answers))
	address := scripter.ServeRequests(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, <-script) })
	p := NewProber("http://" + address)
	var changes []StateChange
	for _, answer := range answers {
		script <- answer
		changes = append(changes, p.Probe(t.Context(), false))
	}

	return changes
}

func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
}

// Guards against a broken report that counts as a crash of an endpoint that goes on, and once more when the next one can be read.
func TestBrokenReportIsNoCrash(t *testing.T) {
	broken := map[string]string{
		"cut":                  ok(report[:len(report)/2]),
		"empty":                ok(""),
		"no report":            ok("{}"),
		"null":                 ok("null"),
		"text":                 ok("busy"),
		"status 000":           "HTTP/1.1 000 X\r\nConnection: close\r\n\r\n" + report,
		"status 500":           "HTTP/1.1 500 E\r\nConnection: close\r\n\r\n" + report,
		"blank in a name":      "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n" + `{"boot": "b-2"}`,
		"nothing of an answer": "",
	}
	for name, answer := range broken {
		t.Run(name, func(t *testing.T) {
			changes := probeAnswers(t, ok(report), answer, ok(report))
			if !changes[0].CameUp {
				t.Fatalf("first report: %+v", changes[0])
			}
			for _, c := range changes[1:] {
				if c != (StateChange{}) {
					t.Errorf("a change: %+v", c)
				}
			}
		})
	}
}

// An endpoint that has no report is up, and a new start shows in its report.
func TestReportsShowStarts(t *testing.T) {
	changes := probeAnswers(t, ok("no report"), ok("no report"), ok(report), ok(strings.Replace(report, "b-1", "b-2", 1)))
	if !changes[0].CameUp || changes[1] != (StateChange{}) || !changes[3].HasCrashed {
		t.Errorf("changes %+v", changes)
	}
}

// Guards against a report without end that takes the memory of the sidecar.
func TestReportWithoutEndTakesBoundedMemory(t *testing.T) {
	const targetMemory = 256 << 20
	for _, start := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n"} {
		p := NewProber("http://" + scripter.ServeRequests(t, func(conn *net.TCPConn) {
			scripter.SendEndless(conn, start, "b", targetMemory)
		}))
		scripter.CheckHeap(t, targetMemory/32, func() { p.Probe(t.Context(), false) })
	}
}
