package sloper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"cardamompulley/fleet/counter"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/runner"
)

func vectorBytes() (Slope, error) {
	return slopeOf("load vector", "bytes, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}

		return float64(len(busyTable(s).Encode(5000, nil))), nil
	})
}

// exchangeWire counts the bytes of one exchange at the connection, both directions, over a kept connection.
func exchangeWire() (Slope, error) {
	return slopeOf("exchange on the wire", "bytes an exchange, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		wire, _, err := countExchange(busyTable(s).Encode(5000, nil))

		return wire, err
	})
}

func exchangeTime() (Slope, error) {
	return slopeOf("one exchange, both ends", "ns, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		_, nanos, err := countExchange(busyTable(s).Encode(5000, nil))

		return nanos, err
	})
}

// echo answers an exchange with a vector of the same size.
type echo struct {
	messengerconnect.UnimplementedPeerHandler
	vector []byte
}

// Exchange returns the vector.
func (e echo) Exchange(context.Context, *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return &messenger.ExchangeResponse{Process: "router-0001", ConfigurationVersion: 1 << 20, ConfigurationHash: 1 << 60, Vector: e.vector}, nil
}

// countExchange returns the bytes and the time of one exchange, each over a connection of its own.
func countExchange(vector []byte) (wire, nanos float64, err error) {
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewPeerHandler(echo{vector: vector}, follower.PeerHandlerOptions()...))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, fmt.Errorf("sloper: %w", err)
	}
	server := runner.NewServer(mux)
	go func() { _ = runner.Serve(server, l) }()
	defer server.Close()
	var control counter.Counter
	client := messengerconnect.NewPeerClient(
		&http.Client{Transport: &http.Transport{DialContext: control.DialContext, DisableKeepAlives: true}},
		"http://"+l.Addr().String(), follower.PeerClientOptions("token")...)
	start := time.Now()
	for range exchanges {
		_, err := client.Exchange(context.Background(), &messenger.ExchangeRequest{
			Process: "router-0001", ConfigurationVersion: 1 << 20, ConfigurationHash: 1 << 60, Vector: vector,
		})
		if err != nil {
			return 0, 0, fmt.Errorf("sloper: %w", err)
		}
	}

	return float64(control.Total()) / exchanges, float64(time.Since(start).Nanoseconds()) / exchanges, nil
}
