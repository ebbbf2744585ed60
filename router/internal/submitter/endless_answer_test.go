package submitter

import (
	"encoding/binary"
	"net"
	"net/http"
	"testing"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/scripter"
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
		scripter.SendEndless(w, string(binary.BigEndian.AppendUint32([]byte{0}, 4*targetMemory)), "\x00", targetMemory)
	})
	server := runner.NewServer(mux)
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(l) }()
	s := NewSubmitter(follower.Settings{}, nil, tracer.NewDisabledTracer())
	scripter.CheckHeap(t, targetMemory/2, func() {
		stream, err := s.clientFor(l.Addr().String()).Run(t.Context(), &messenger.RunRequest{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		if stream.Receive() || stream.Err() == nil {
			t.Errorf("a message, %v", stream.Err())
		}
	})
}
