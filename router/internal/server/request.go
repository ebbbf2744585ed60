package server

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/parser"
)

// Headers of requests and responses.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	deadlineHeader       = "Deadline"
	priorityHeader       = "X-Priority"
	placementHintHeader  = "X-Placement-Hint"
	endpointHeader       = "X-Endpoint"
	replayedHeader       = "Idempotent-Replayed"

	maxKeyBytes = 255
)

// priorityByName maps values of X-Priority to the numbers that sidecars use; a lower number is served first.
var priorityByName = map[string]int32{"interactive": 0, "": 1, "normal": 1, "batch": 2}

// requestOptions are the options that a caller sets by request headers. The deadline is a time of the router's clock.
type requestOptions struct {
	idempotencyKey string
	deadline       timekeeper.Millis
	priority       int32
	placementHint  model.EndpointID
}

// parseOptions reads the options of a request from its headers, with defaults for missing ones. It returns
// parser.ErrBadRequest for an invalid header.
func (v *Server) parseOptions(c fiber.Ctx) (requestOptions, error) {
	o := requestOptions{
		idempotencyKey: strings.Clone(c.Get(idempotencyKeyHeader)),
		deadline:       v.follower.Clock.Now() + v.settings.DefaultDeadline,
		placementHint:  model.EndpointID(strings.Clone(c.Get(placementHintHeader))),
	}
	if len(o.idempotencyKey) > maxKeyBytes {
		return o, fmt.Errorf("%w: %s is longer than %d bytes", parser.ErrBadRequest, idempotencyKeyHeader, maxKeyBytes)
	}
	if raw := c.Get(deadlineHeader); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 32)
		if err != nil || ms <= 0 {
			return o, fmt.Errorf("%w: %s must be a positive number of milliseconds", parser.ErrBadRequest, deadlineHeader)
		}
		o.deadline = v.follower.Clock.Now() + timekeeper.Millis(ms)
	}
	priority, ok := priorityByName[c.Get(priorityHeader)]
	if !ok {
		return o, fmt.Errorf("%w: %s must be interactive, normal or batch", parser.ErrBadRequest, priorityHeader)
	}
	o.priority = priority

	return o, nil
}

// traceHeaders copies the W3C trace context headers of a request.
func traceHeaders(c fiber.Ctx) http.Header {
	h := http.Header{}
	for _, name := range []string{"Traceparent", "Tracestate"} {
		if value := c.Get(name); value != "" {
			h.Set(name, strings.Clone(value))
		}
	}

	return h
}
