package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
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
	Status    int
	Attempt   string
	Endpoint  string
	RetryWait string
	Body      string
}

// SendToGateway sends a request and reads its answer to the end.
func SendToGateway(ctx context.Context, c GatewayCall) (GatewayReply, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return GatewayReply{}, fmt.Errorf("caller: %w", err)
	}
	r.Host = c.Host
	attempt := uuid.NewString()
	for name, value := range c.Headers(attempt) {
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
		Status:    response.StatusCode,
		Attempt:   attempt,
		Endpoint:  strings.TrimPrefix(response.Header.Get("Cardamompulley-Response-Signature"), "signed-by-"),
		RetryWait: response.Header.Get("Retry-After"),
		Body:      string(body),
	}, nil
}

// Headers returns the platform's headers of an attempt.
func (c GatewayCall) Headers(attempt string) map[string]string {
	h := map[string]string{
		"Cardamompulley-Attempt-Id":  attempt,
		"Cardamompulley-Key":         c.Key,
		"Cardamompulley-Deadline-Ms": "4000",
	}
	if c.Stream {
		h["Cardamompulley-Model"] = "m"
		h["Cardamompulley-Token-Counts"] = "120,80"
		h["Cardamompulley-Prompt-Prefix"] = fmt.Sprintf("a1:50,%x:50,c3:20", c.Session)
	}

	return h
}
