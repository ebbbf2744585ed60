package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/scripter"
	"cardamompulley/platform/imitator"
)

// longUploadBytes is more than the buffers of a connection take, so that an upload goes on until its endpoint reads it.
const longUploadBytes = 12 << 20

// breakAnswer answers a request before it has read the body. After a part of the answer to a long upload it resets the connection; the answer
// to a shorter one is whole, by which a test sees that the endpoint is in use.
func breakAnswer(conn *net.TCPConn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nCardamompulley-Response-Signature: s\r\nCardamompulley-Attempt-Id: " + r.Header.Get("Cardamompulley-Attempt-Id") + "\r\n"
	if r.ContentLength < longUploadBytes {
		_, _ = io.WriteString(conn, head+"Connection: close\r\nContent-Length: 2\r\n\r\nok")

		return
	}
	_, _ = io.WriteString(conn, head+"\r\n"+strings.Repeat("p", 500))
	_ = conn.SetLinger(0)
}

// Guards against a part of an answer that a gateway passes on as whole, on processes and through its limits on bodies.
func TestGatewayPassesOnNoPartOfAnswerThatIsReset(t *testing.T) {
	const uploads = 10
	f := launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.Engines, s.PlainEndpoints = 1, 0, 0
		s.GatewaySettings = map[string]any{"memory-mb": 256}
	})
	endpoint := imitator.Endpoint{Service: imitator.ServiceRecords, Address: scripter.Serve(t, breakAnswer), Domain: "domain-0"}
	must(t, f.PutItem(imitator.KeyEndpoint("early"), endpoint.Entry()))
	configuration := imitator.Configuration(100, imitator.ConfigurationOptions{
		Host: launcher.GatewayHost, Account: "demo-account", APIKeys: []string{launcher.GatewayAPIKey},
	})
	configuration["limits"] = map[string]any{
		"max-header-bytes": 16384, "max-body-bytes": 16 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
	}
	must(t, f.PutItem(imitator.KeyConfiguration, configuration))
	call := func(bytes int) gatewayResponse {
		c := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath)
		c.body = strings.Repeat("u", bytes)

		return c.send(t.Context())
	}
	// A body over the earlier limit shows that the configuration is in force.
	waitFor(t, "the endpoint answers", 5*time.Second, func() bool { return call(2<<20).status == http.StatusOK })
	results := map[string]int{}
	for range uploads {
		r := call(longUploadBytes)
		results[fmt.Sprintf("status %d, %d bytes, error %v", r.status, len(r.body), r.err != nil)]++
		if r.err == nil && r.status < 300 {
			t.Errorf("status %d and a whole body of %d bytes", r.status, len(r.body))
		}
	}
	t.Log(results)
}
