package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
)

// GatewayRequest is a request to a gateway as callers of the platform send it.
type GatewayRequest struct {
	// Address is the host and port of the gateway's listener for callers.
	Address string
	// Host is the Host header.
	Host   string
	APIKey string
	Method string
	Path   string
	Body   string
	// Stream requests an event stream in the session SessionID.
	Stream    bool
	SessionID uint64
}

// GatewayResponse is the response of a gateway, read to its end.
type GatewayResponse struct {
	Status    int
	AttemptID string
	// Endpoint is the ID of the endpoint that signed the response, or empty if it is not signed.
	Endpoint string
	Body     string
}

const (
	// slowBodies is the number of different speeds of request bodies, of which each is bodyDelay slower than the one before.
	slowBodies = 4
	bodyDelay  = 20 * time.Millisecond
)

// requestsSent numbers the requests; what is odd about a request follows from its number.
var requestsSent atomic.Uint64

// slowReader waits before each read.
type slowReader struct {
	reader io.Reader
	delay  time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.delay)

	return s.reader.Read(b[:min(len(b), 1+len(b)/2)])
}

// SendToGateway sends a request under a new attempt ID, below its path and with a body that may arrive slowly, and reads the response to its end.
func SendToGateway(ctx context.Context, request GatewayRequest) (GatewayResponse, error) {
	n := requestsSent.Add(1)
	body := &slowReader{reader: strings.NewReader(request.Body), delay: time.Duration(n%slowBodies) * bodyDelay}
	r, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path+imitator.PathEnd(n), body)
	if err != nil {
		return GatewayResponse{}, fmt.Errorf("caller: create request: %w", err)
	}
	r.Host = request.Host
	attemptID := uuid.NewString()
	for name, value := range request.Headers(model.AttemptID(attemptID)) {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return GatewayResponse{}, fmt.Errorf("caller: send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return GatewayResponse{}, fmt.Errorf("caller: read response of %s: %w", request.Path, err)
	}

	return GatewayResponse{
		Status:    response.StatusCode,
		AttemptID: attemptID,
		Endpoint:  imitator.Signer(response.Header),
		Body:      string(answer),
	}, nil
}

// gatewayTimeout is the timeout that demos and load tests declare to gateways.
const gatewayTimeout = 4 * timekeeper.Second

// Headers returns the platform headers of the request for an attempt, by name.
func (r GatewayRequest) Headers(attemptID model.AttemptID) map[string]string {
	return imitator.RequestOptions{
		AttemptID: attemptID, APIKey: r.APIKey, Timeout: gatewayTimeout, Stream: r.Stream, SessionID: r.SessionID,
	}.Headers()
}
