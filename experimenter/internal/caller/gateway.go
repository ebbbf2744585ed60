package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
)

// GatewayRequest is a request to a gateway as clients of the platform send it.
type GatewayRequest struct {
	// Address is the host and port of the gateway's client listener.
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
	// Endpoint is the id of the endpoint that signed the response, or empty if it is not signed.
	Endpoint string
	Body     string
}

// SendToGateway sends a request under a new attempt id and reads the response to its end.
func SendToGateway(ctx context.Context, c GatewayRequest) (GatewayResponse, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return GatewayResponse{}, fmt.Errorf("caller: create request: %w", err)
	}
	r.Host = c.Host
	attemptID := uuid.NewString()
	for name, value := range c.Headers(model.AttemptID(attemptID)) {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return GatewayResponse{}, fmt.Errorf("caller: send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return GatewayResponse{}, fmt.Errorf("caller: read response of %s: %w", c.Path, err)
	}

	return GatewayResponse{
		Status:    response.StatusCode,
		AttemptID: attemptID,
		Endpoint:  imitator.Signer(response.Header),
		Body:      string(body),
	}, nil
}

// gatewayTimeout is the timeout that demos and load tests declare to gateways.
const gatewayTimeout = 4 * timekeeper.Second

// Headers returns the platform headers of the request for an attempt, by name.
func (c GatewayRequest) Headers(attemptID model.AttemptID) map[string]string {
	return imitator.RequestOptions{
		AttemptID: attemptID, APIKey: c.APIKey, Timeout: gatewayTimeout, Stream: c.Stream, SessionID: c.SessionID,
	}.Headers()
}
