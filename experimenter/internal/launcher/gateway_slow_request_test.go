package launcher_test

import (
	"bufio"
	"errors"
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
	// reusableUntil is the end of the Keep-Alive timeout, counted from the last request.
	reusableUntil time.Time
}

func openKeptConn(t *testing.T, g *launcher.Process) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp", g.Address("callers"))
	must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	k := &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
	sentAt := time.Now()
	_, err = io.WriteString(conn, lookupRequest())
	must(t, err)
	response, err := k.readResponse()
	must(t, err)
	keepAlive := response.header.Get("Keep-Alive")
	seconds, err := strconv.Atoi(strings.TrimPrefix(keepAlive, "timeout="))
	if err != nil {
		t.Fatalf("Keep-Alive %q", keepAlive)
	}
	k.reusableUntil = sentAt.Add(time.Duration(seconds) * time.Second)

	return k
}

type keptResponse struct {
	header http.Header
	// closes is true if the gateway announces that it closes the connection.
	closes bool
}

// readResponse reads a success or a refusal to its end.
func (k *keptConn) readResponse() (keptResponse, error) {
	_ = k.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return keptResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	isRefusal := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	if err == nil && response.StatusCode != http.StatusOK && !isRefusal {
		err = fmt.Errorf("status %d", response.StatusCode)
	}

	return keptResponse{header: response.Header, closes: response.Close}, err
}

// sendInTwoParts sends a request whose rest follows after a pause, as if a packet had been lost, and reads the response, which
// must announce that the connection closes.
func (k *keptConn) sendInTwoParts(length int, pause time.Duration) error {
	request := lookupRequest()
	if _, err := io.WriteString(k, request[:length]); err != nil {
		return err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(k, request[length:]); err != nil {
		return err
	}
	response, err := k.readResponse()
	if err == nil && !response.closes {
		return errors.New("the response does not announce that the connection closes")
	}

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

func TestGatewayClosesConnectionWithStreamThatEndsDuringShutdown(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.EventsPerStream, s.EventInterval = 1, 30, 20 })
	conn := openKeptConn(t, f.Gateways[0])
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n"+
		"Cardamompulley-Attempt-Id: attempt-%d\r\nCardamompulley-Key: %s\r\nCardamompulley-Model: m\r\n"+
		"Cardamompulley-Token-Counts: 120,80\r\nCardamompulley-Prompt-Prefix: a1:50\r\n\r\n",
		draftsPath, launcher.GatewayHost, attemptCounter.Add(1), launcher.GatewayAPIKey)
	must(t, err)
	_, err = conn.reader.Peek(1)
	must(t, err)
	must(t, f.Gateways[0].Signal(syscall.SIGTERM))
	_, err = conn.readResponse()
	must(t, err)
	ended := time.Now()
	if _, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the stream: %v", err)
	}
	// An idle connection stays open for longer.
	if took := time.Since(ended); took > time.Second {
		t.Errorf("the connection closes only %v after the stream", took)
	}
	must(t, f.Gateways[0].Stop())
}
