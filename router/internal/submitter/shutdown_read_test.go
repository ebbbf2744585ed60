package submitter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
)

// Frames of HTTP/2 (RFC 9113): the length of the frame header, and the types that carry a call.
const (
	frameHeaderBytes = 9
	frameData        = 0x0
	frameHeaders     = 0x1
)

// pausingListener accepts HTTP/2 connections on which the payload of the nth frame of a type is held back after it has been
// read until resume is closed, as if the process were not running between the system call and the return from Read.
type pausingListener struct {
	net.Listener
	frameType byte
	nth       int
	paused    chan struct{}
	resume    chan struct{}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &pausingConn{Conn: conn, listener: l}, nil
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
	frames   int
	// isNext is true if the next read returns the payload that is to be held back.
	isNext bool
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isNext {
		c.isNext = false
		close(c.listener.paused)
		<-c.listener.resume
	} else if n == frameHeaderBytes && len(b) == frameHeaderBytes && b[3] == c.listener.frameType {
		c.frames++
		c.isNext = c.frames == c.listener.nth
	}

	return n, err
}

// countingEndpoint is a sidecar's RPC service that answers each call with a head.
type countingEndpoint struct {
	messengerconnect.UnimplementedEndpointHandler
	runs atomic.Int64
}

func (e *countingEndpoint) Run(
	_ context.Context, _ *messenger.RunRequest, stream *connect.ServerStream[messenger.RunEvent],
) error {
	e.runs.Add(1)

	return stream.Send(&messenger.RunEvent{Event: &messenger.RunEvent_Head{Head: &messenger.Head{Status: http.StatusOK}}})
}

func TestSidecarShutdownShowsWhetherReadCallRan(t *testing.T) {
	tests := []struct {
		name         string
		frameType    byte
		earlierCalls int
		wantAnswer   bool
	}{
		{"head of a connection's first call", frameHeaders, 0, false},
		{"head of a later call", frameHeaders, 1, false},
		{"body of a connection's first call", frameData, 0, true},
		{"body of a later call", frameData, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			endpoint := &countingEndpoint{}
			server, paused := startEndpoint(t, endpoint, tt.frameType, tt.earlierCalls+1)
			client := newTestSubmitter().clientFor(paused.Addr().String())
			for range tt.earlierCalls {
				if err := callRun(t, client); err != nil {
					t.Fatal(err)
				}
			}
			called := make(chan error, 1)
			go func() { called <- callRun(t, client) }()
			<-paused.paused
			ended := make(chan error, 1)
			go func() { ended <- server.Shutdown(context.Background()) }()
			resume := sync.OnceFunc(func() { close(paused.resume) })
			// A call that is not answered ends while its frame is still held back.
			timer := time.AfterFunc(300*time.Millisecond, resume)
			defer timer.Stop()
			err := <-called
			resume()
			if gotAnswer := err == nil; gotAnswer != tt.wantAnswer {
				t.Errorf("error %v, want an answer: %v", err, tt.wantAnswer)
			}
			if err != nil && !isProvablyUnsent(err) {
				t.Errorf("the router cannot tell that the call did not run: %v", err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
			if ran := int(endpoint.runs.Load()) > tt.earlierCalls; ran != tt.wantAnswer {
				t.Errorf("the call ran: %v, want %v", ran, tt.wantAnswer)
			}
		})
	}
}

// startEndpoint serves an endpoint as the sidecar does, on a listener that holds back a frame.
func startEndpoint(t *testing.T, endpoint *countingEndpoint, frameType byte, nth int) (*http.Server, *pausingListener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	paused := &pausingListener{
		Listener: l, frameType: frameType, nth: nth, paused: make(chan struct{}), resume: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewEndpointHandler(endpoint))
	server := runner.NewServer(mux)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = runner.Serve(server, paused) }()

	return server, paused
}

func newTestSubmitter() *Submitter {
	s := follower.NewSettings()
	f := follower.NewFollower(s, model.RoleRouter, configurator.AllParts, timekeeper.NewSystemClock(), logger.NewDiscard())

	return NewSubmitter(s, f, tracer.NewDisabledTracer())
}

// callRun makes a call and reads its answer to the end.
func callRun(t *testing.T, client messengerconnect.EndpointClient) error {
	t.Helper()
	stream, err := client.Run(t.Context(), &messenger.RunRequest{AttemptId: "a"})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
	}

	return stream.Err()
}
