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

// GatewayCall is one request to a gateway as callers of the platform send it.
type GatewayCall struct {
	Address string
	Host    string
	Key     string
	Method  string
	Path    string
	Body    string
	// Stream asks for an event stream about a session.
	Stream  bool
	Session uint64
}

// GatewayReply is a gateway's whole answer.
type GatewayReply struct {
	Status   int
	Attempt  string
	Endpoint string
	Body     string
}

// SendToGateway sends a request and reads its answer to the end.
func SendToGateway(ctx context.Context, c GatewayCall) (GatewayReply, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return GatewayReply{}, fmt.Errorf("caller: %w", err)
	}
	r.Host = c.Host
	attempt := uuid.NewString()
	for name, value := range c.Headers(model.AttemptID(attempt)) {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return GatewayReply{}, fmt.Errorf("caller: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return GatewayReply{}, fmt.Errorf("caller: answer of %s: %w", c.Path, err)
	}

	return GatewayReply{
		Status:   response.StatusCode,
		Attempt:  attempt,
		Endpoint: imitator.Signer(response.Header),
		Body:     string(body),
	}, nil
}

// callLeft is how long the callers of demos and benches wait.
const callLeft = 4 * timekeeper.Second

// Headers returns the platform's headers of an attempt.
func (c GatewayCall) Headers(attempt model.AttemptID) map[string]string {
	return imitator.RequestOptions{AttemptID: attempt, APIKey: c.Key, Timeout: callLeft, Stream: c.Stream, SessionID: c.Session}.Headers()
}
