package follower

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/scripter"
)

// targetMemory is the memory that a process may take.
const targetMemory = 256 << 20

// Guards against an answer without end, of what listens at the address of another process, that takes all the memory of this one.
func TestAnswerOfPeerWithoutEndTakesBoundedMemory(t *testing.T) {
	address := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		scripter.SendEndless(w, "", "\x00", targetMemory)
	}))
	client := messengerconnect.NewPeerClient(http.DefaultClient, "http://"+address, PeerClientOptions("")...)
	scripter.CheckHeap(t, targetMemory/2, func() {
		if _, err := client.Exchange(t.Context(), &messenger.ExchangeRequest{}); err == nil {
			t.Error("no error")
		}
	})
}

// serveHTTP serves requests until the test ends and returns the address.
func serveHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return strings.TrimPrefix(server.URL, "http://")
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
	client := messengerconnect.NewPeerClient(http.DefaultClient, "http://"+serveHTTP(t, mux), PeerClientOptions("")...)
	var hashes []string
	for n := range count {
		hashes = append(hashes, fmt.Sprintf("%064x", n))
	}
	values, err := fetchValues(t.Context(), client, hashes)
	if err != nil || len(values) != count {
		t.Errorf("%d values, %v, want %d", len(values), err, count)
	}
}
