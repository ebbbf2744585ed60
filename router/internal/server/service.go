package server

import (
	"bytes"
	"strings"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/router/internal/parser"
	"cardamompulley/router/internal/submitter"
)

// handleService serves a call to a plain service. A call that is not idempotent needs an idempotency key; the key of an
// idempotent call is ignored.
func (v *Server) handleService(c fiber.Ctx) error {
	id := model.ServiceID(strings.Clone(c.Params("service")))
	service, ok := v.follower.Snapshot().Fleet.Services[id]
	if !ok || service.Kind != model.KindPlain {
		return v.refuse(c, model.NewRefusal(model.CodeUnknownService, "no plain service has the name "+string(id)))
	}
	options, err := v.parseOptions(c)
	if err != nil {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	body := bytes.Clone(c.Body())
	if service.MaxBodyBytes > 0 && len(body) > service.MaxBodyBytes {
		return v.refuse(c, model.NewRefusal(model.CodeBodyTooLarge, "the body is over the limit of the service"))
	}
	method := strings.Clone(c.Method())
	path := "/" + strings.Clone(c.Params("*"))
	idempotent := isIdempotent(service, method, path)
	if !idempotent && options.idempotencyKey == "" {
		return v.refuse(c, model.NewRefusal(model.CodeKeyRequired,
			method+" "+path+" may run only once: send an "+idempotencyKeyHeader+", a UUIDv7 for best results"))
	}
	if idempotent {
		options.idempotencyKey = ""
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		path += "?" + query
	}
	account := authenticatedAccount(c)
	fingerprint := parser.FingerprintCall(account, id, method, path, body)
	request := &submitter.Request{PlacementHint: options.placementHint, Deadline: options.deadline, RunRequest: &messenger.RunRequest{
		Account:        string(account),
		Service:        string(id),
		Chat:           uint64(fingerprint),
		Method:         method,
		Path:           path,
		ContentType:    strings.Clone(c.Get(fiber.HeaderContentType)),
		Body:           body,
		IdempotencyKey: options.idempotencyKey,
		Priority:       options.priority,
		Fingerprint:    uint64(fingerprint),
		FirstTurn:      true,
		Idempotent:     idempotent,
	}}
	ctx, span := v.tracer.Start(v.requests, "router.service", traceHeaders(c))
	response, refusal := v.submitter.Submit(ctx, request)
	if refusal != nil {
		span.End(refusal)

		return v.sendProblem(c, httpStatus(refusal.Code), refusal)
	}
	span.SetAttribute("endpoint", string(response.Endpoint))

	return v.sendBuffered(c, response, span)
}

// isIdempotent reports whether a call may run more than once, either by its HTTP method or because its path is at or below
// one of the service's declared idempotent paths.
func isIdempotent(s model.Service, method, path string) bool {
	if method == fiber.MethodGet || method == fiber.MethodHead || method == fiber.MethodOptions {
		return true
	}
	for _, p := range s.IdempotentPaths {
		if path == p || strings.HasPrefix(path, strings.TrimSuffix(p, "/")+"/") {
			return true
		}
	}

	return false
}
