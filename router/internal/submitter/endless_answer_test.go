package submitter

import (
	"encoding/binary"
	"net"
	"net/http"
	"runtime"
	"testing"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/tracer"
)

// targetMemory is the memory that a router may take.
const targetMemory = 256 << 20

// Guards against a message without end, of what listens at the address of a sidecar, that takes all the memory of the router.
func TestMessageOfSidecarWithoutEndTakesBoundedMemory(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/connect+proto")
		_, _ = w.Write(binary.BigEndian.AppendUint32([]byte{0}, 4*targetMemory))
		chunk := make([]byte, 64<<10)
		for sent := 0; sent < targetMemory; sent += len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	server := runner.NewServer(mux)
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(l) }()
	s := NewSubmitter(follower.Settings{}, nil, tracer.NewDisabledTracer())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	stream, err := s.clientFor(l.Addr().String()).Run(t.Context(), &messenger.RunRequest{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if stream.Receive() || stream.Err() == nil {
		t.Errorf("a message, %v", stream.Err())
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > targetMemory/2 {
		t.Errorf("%d MB were allocated for one message", n>>20)
	}
}
