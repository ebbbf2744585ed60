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

// Headers between callers and the router.
const (
	keyHeader      = "Idempotency-Key"
	deadlineHeader = "Deadline"
	priorityHeader = "X-Priority"
	hintHeader     = "X-Placement-Hint"
	endpointHeader = "X-Endpoint"
	replayedHeader = "Idempotent-Replayed"

	maxKeyBytes = 255
)

var priorities = map[string]int32{"interactive": 0, "": 1, "normal": 1, "batch": 2}

// bounds are what the headers of a request ask for.
type bounds struct {
	key      string
	deadline timekeeper.Millis
	priority int32
	hint     model.EndpointID
}

// readBounds reads the headers that bound a request, or returns parser.ErrBadRequest.
func (v *Server) readBounds(c fiber.Ctx) (bounds, error) {
	b := bounds{
		key:      strings.Clone(c.Get(keyHeader)),
		deadline: v.follower.Clock.Now() + v.settings.DefaultDeadline,
		hint:     model.EndpointID(strings.Clone(c.Get(hintHeader))),
	}
	if len(b.key) > maxKeyBytes {
		return b, fmt.Errorf("%w: %s is longer than %d bytes", parser.ErrBadRequest, keyHeader, maxKeyBytes)
	}
	if raw := c.Get(deadlineHeader); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 32)
		if err != nil || ms <= 0 {
			return b, fmt.Errorf("%w: %s must be a positive number of milliseconds", parser.ErrBadRequest, deadlineHeader)
		}
		b.deadline = v.follower.Clock.Now() + timekeeper.Millis(ms)
	}
	priority, ok := priorities[c.Get(priorityHeader)]
	if !ok {
		return b, fmt.Errorf("%w: %s must be interactive, normal or batch", parser.ErrBadRequest, priorityHeader)
	}
	b.priority = priority

	return b, nil
}

// traceHeaders copies the headers that carry the caller's trace.
func traceHeaders(c fiber.Ctx) http.Header {
	h := http.Header{}
	for _, name := range []string{"Traceparent", "Tracestate"} {
		if value := c.Get(name); value != "" {
			h.Set(name, strings.Clone(value))
		}
	}

	return h
}
