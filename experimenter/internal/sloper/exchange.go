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

func loadVectorSize() (Measurement, error) {
	return measureAtSizes("load vector", "bytes, by runners", endpointCounts, TargetEndpoints, func(endpointCount int) (float64, error) {
		s, err := newSnapshot(endpointCount)
		if err != nil {
			return 0, err
		}

		return float64(len(newLoadTable(s).Encode(5000, nil))), nil
	})
}

// exchangeSize measures the bytes of one exchange on its connection, in both directions, including the headers.
func exchangeSize() (Measurement, error) {
	return measureAtSizes("exchange on the wire", "bytes an exchange, by runners", endpointCounts, TargetEndpoints,
		func(endpointCount int) (float64, error) {
			s, err := newSnapshot(endpointCount)
			if err != nil {
				return 0, err
			}
			wireBytes, _, err := measureExchange(newLoadTable(s).Encode(5000, nil))

			return wireBytes, err
		})
}

func exchangeTime() (Measurement, error) {
	return measureAtSizes("one exchange, both ends", "ns, by runners", endpointCounts, TargetEndpoints,
		func(endpointCount int) (float64, error) {
			s, err := newSnapshot(endpointCount)
			if err != nil {
				return 0, err
			}
			_, nanos, err := measureExchange(newLoadTable(s).Encode(5000, nil))

			return nanos, err
		})
}

// echoPeer is a peer that answers each exchange with a load vector of the same size.
type echoPeer struct {
	messengerconnect.UnimplementedPeerHandler
	vector []byte
}

// Exchange returns the vector of the peer.
func (e echoPeer) Exchange(context.Context, *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return &messenger.ExchangeResponse{Process: "router-0001", ConfigurationVersion: 1 << 20, ConfigurationHash: 1 << 60, Vector: e.vector}, nil
}

// measureExchange returns the mean bytes on the wire and the mean time in nanoseconds of an exchange. Each exchange opens a
// new connection.
func measureExchange(vector []byte) (wireBytes, nanos float64, err error) {
	mux := http.NewServeMux()
	mux.Handle(messengerconnect.NewPeerHandler(echoPeer{vector: vector}, follower.PeerHandlerOptions()...))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, fmt.Errorf("sloper: listen for exchanges: %w", err)
	}
	server := runner.NewServer(mux)
	go func() { _ = runner.Serve(server, listener) }()
	defer server.Close()
	var traffic counter.Counter
	client := messengerconnect.NewPeerClient(
		&http.Client{Transport: &http.Transport{DialContext: traffic.DialContext, DisableKeepAlives: true}},
		"http://"+listener.Addr().String(), follower.PeerClientOptions("token")...)
	start := time.Now()
	for range exchangeCount {
		_, err := client.Exchange(context.Background(), &messenger.ExchangeRequest{
			Process: "router-0001", ConfigurationVersion: 1 << 20, ConfigurationHash: 1 << 60, Vector: vector,
		})
		if err != nil {
			return 0, 0, fmt.Errorf("sloper: exchange with peer: %w", err)
		}
	}

	return float64(traffic.Total()) / exchangeCount, float64(time.Since(start).Nanoseconds()) / exchangeCount, nil
}
