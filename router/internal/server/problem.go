package server

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const problemContentType = "application/problem+json"

// problem is the body of a refused request (RFC 9457).
type problem struct {
	Type       string            `json:"type"`
	Title      string            `json:"title"`
	Status     int               `json:"status"`
	Detail     string            `json:"detail"`
	Code       model.Code        `json:"code"`
	Outcome    model.Outcome     `json:"outcome"`
	RetryAfter timekeeper.Millis `json:"retry-after-ms,omitempty"`
}

var statusByCode = map[model.Code]int{
	model.CodeBadRequest:              fiber.StatusBadRequest,
	model.CodeBodyTooLarge:            fiber.StatusRequestEntityTooLarge,
	model.CodeUnauthorized:            fiber.StatusUnauthorized,
	model.CodeUnknownModel:            fiber.StatusNotFound,
	model.CodeUnknownService:          fiber.StatusNotFound,
	model.CodeKeyRequired:             fiber.StatusBadRequest,
	model.CodeKeyConflict:             fiber.StatusUnprocessableEntity,
	model.CodeKeyInProgress:           fiber.StatusConflict,
	model.CodeKeyStateUnknown:         fiber.StatusConflict,
	model.CodeRequestQuarantined:      fiber.StatusUnprocessableEntity,
	model.CodeEndpointFailed:          fiber.StatusBadGateway,
	model.CodeIncompleteResponse:      fiber.StatusBadGateway,
	model.CodeEndpointUnreachable:     fiber.StatusBadGateway,
	model.CodeDeadlineTooShort:        fiber.StatusGatewayTimeout,
	model.CodePreviousHomeUnreachable: fiber.StatusServiceUnavailable,
}

// httpStatus returns the HTTP status of a refusal code, 503 by default.
func httpStatus(code model.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}

	return fiber.StatusServiceUnavailable
}

func newProblem(status int, r *model.Refusal) problem {
	return problem{
		Type:       "about:blank",
		Title:      string(r.Code),
		Status:     status,
		Detail:     r.Detail,
		Code:       r.Code,
		Outcome:    r.Outcome,
		RetryAfter: r.RetryAfter,
	}
}

// refuse sends a refusal of the router itself. For a request with an idempotency key the outcome is unknown, because an
// earlier request with the same key may have run.
func (v *Server) refuse(c fiber.Ctx, r *model.Refusal) error {
	if c.Get(idempotencyKeyHeader) != "" {
		r.Outcome = model.OutcomeUnknown
	}

	return v.sendProblem(c, httpStatus(r.Code), r)
}

// sendProblem sends a refusal as a problem document, with Retry-After rounded up to full seconds.
func (v *Server) sendProblem(c fiber.Ctx, status int, r *model.Refusal) error {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + timekeeper.Second - 1) / timekeeper.Second
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	body, err := json.Marshal(newProblem(status, r))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, problemContentType)

	return c.Status(status).Send(body)
}

// errorEvent returns the server-sent event that ends a stream that cannot be completed.
func errorEvent(r *model.Refusal) []byte {
	body, err := json.Marshal(newProblem(httpStatus(r.Code), r))
	if err != nil {
		body = []byte(`{"code":"incomplete"}`)
	}

	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}
