package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

// keptConn is an open connection of a caller that has had a response on it.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	// reusableUntil is the end of the Keep-Alive timeout of the last response.
	reusableUntil time.Time
}

func openKeptConn(t *testing.T, g *launcher.Process) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp", g.Address("callers"))
	must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	k := &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
	_, err = io.WriteString(conn, lookupRequest())
	must(t, err)
	header, err := k.readResponse()
	must(t, err)
	seconds, err := strconv.Atoi(strings.TrimPrefix(header.Get("Keep-Alive"), "timeout="))
	if err != nil {
		t.Fatalf("Keep-Alive %q", header.Get("Keep-Alive"))
	}
	k.reusableUntil = time.Now().Add(time.Duration(seconds) * time.Second)

	return k
}

// readResponse reads a success or a refusal to its end.
func (k *keptConn) readResponse() (http.Header, error) {
	_ = k.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	isRefusal := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	if err == nil && response.StatusCode != http.StatusOK && !isRefusal {
		err = fmt.Errorf("status %d", response.StatusCode)
	}

	return response.Header, err
}

// sendInTwoParts sends a request whose rest follows after a pause, as if a packet had been lost, and reads the response.
func (k *keptConn) sendInTwoParts(length int, pause time.Duration) error {
	request := lookupRequest()
	if _, err := io.WriteString(k, request[:length]); err != nil {
		return err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(k, request[length:]); err != nil {
		return err
	}
	_, err := k.readResponse()

	return err
}

func lookupRequest() string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nCardamompulley-Attempt-Id: attempt-%d\r\nCardamompulley-Key: %s\r\n\r\n",
		lookupsPath, launcher.GatewayHost, attemptCounter.Add(1), launcher.GatewayAPIKey)
}

func TestGatewayShutdownAnswersRequestsThatArriveSlowly(t *testing.T) {
	const (
		seed            = 1
		connsPerGateway = 40
		longestWait     = 2500 * time.Millisecond
		longestPause    = 600 * time.Millisecond
	)
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Engines = 1 })
	random := rand.New(rand.NewPCG(seed, seed))
	var w sync.WaitGroup
	var sent atomic.Int64
	for _, g := range f.Gateways {
		conns := make([]*keptConn, connsPerGateway)
		for i := range conns {
			conns[i] = openKeptConn(t, g)
		}
		must(t, g.Signal(syscall.SIGTERM))
		must(t, g.Signal(syscall.SIGHUP))
		for _, k := range conns {
			wait := time.Duration(random.Int64N(int64(longestWait)))
			length := 1 + random.IntN(len(lookupRequest())-1)
			pause := time.Duration(random.Int64N(int64(longestPause)))
			w.Go(func() {
				time.Sleep(wait)
				if time.Now().After(k.reusableUntil) {
					return
				}
				sent.Add(1)
				if err := k.sendInTwoParts(length, pause); err != nil {
					t.Errorf("%s: %d bytes sent %v after SIGTERM, the rest %v later: %v", g.Name, length, wait, pause, err)
				}
			})
		}
	}
	w.Wait()
	if n := sent.Load(); n < connsPerGateway {
		t.Errorf("only %d requests were sent", n)
	}
	for _, g := range f.Gateways {
		must(t, g.Stop())
	}
}
