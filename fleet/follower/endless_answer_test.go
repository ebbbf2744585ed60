package follower

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
)

// targetMemory is the memory that a process may take.
const targetMemory = 256 << 20

// Guards against an answer without end, of what listens at the address of another process, that takes all the memory of this one.
func TestAnswerOfPeerWithoutEndTakesBoundedMemory(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		chunk := make([]byte, 64<<10)
		for sent := 0; sent < targetMemory; sent += len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(l) }()
	client := messengerconnect.NewPeerClient(http.DefaultClient, "http://"+l.Addr().String(), PeerClientOptions("")...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := client.Exchange(t.Context(), &messenger.ExchangeRequest{}); err == nil {
		t.Error("no error")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > targetMemory/2 {
		t.Errorf("%d MB were allocated for one answer", n>>20)
	}
}

// holder is a peer that has the values that it is asked for.
type holder struct {
	messengerconnect.UnimplementedPeerHandler
}

func (holder) FetchValues(_ context.Context, r *messenger.FetchValuesRequest) (*messenger.FetchValuesResponse, error) {
	response := &messenger.FetchValuesResponse{Values: map[string][]byte{}}
	for _, hash := range r.Hashes {
		response.Values[hash] = make([]byte, configurator.MaxValueBytes)
	}

	return response, nil
}

// A configuration may have more values than a message may hold.
func TestValuesOfLargeConfigurationArrive(t *testing.T) {
	const count = 40
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewPeerHandler(holder{}, PeerHandlerOptions()...))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(l) }()
	client := messengerconnect.NewPeerClient(http.DefaultClient, "http://"+l.Addr().String(), PeerClientOptions("")...)
	var hashes []string
	for n := range count {
		hashes = append(hashes, fmt.Sprintf("%064x", n))
	}
	values, err := fetchValues(t.Context(), client, hashes)
	if err != nil || len(values) != count {
		t.Errorf("%d values, %v, want %d", len(values), err, count)
	}
}
