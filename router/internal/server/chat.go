package server

import (
	"bytes"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/router/internal/parser"
	"cardamompulley/router/internal/submitter"
)

const (
	chatCompletionsPath = "/v1/chat/completions"
	jsonContentType     = "application/json"
)

// handleChat serves an OpenAI-compatible chat completion. A request with an idempotency key cannot be streamed, because the
// home of the key stores the complete response.
func (v *Server) handleChat(c fiber.Ctx) error {
	options, err := v.parseOptions(c)
	if err != nil {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	body := bytes.Clone(c.Body())
	chat, err := parser.ParseChatRequest(authenticatedAccount(c), body)
	if err != nil {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	service, ok := v.serviceForModel(chat.Model)
	if !ok {
		return v.refuse(c, model.NewRefusal(model.CodeUnknownModel, "no service declares the model "+string(chat.Model)))
	}
	if options.idempotencyKey != "" && chat.IsStreaming {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, "a chat with an "+idempotencyKeyHeader+" cannot be streamed"))
	}
	request := &submitter.Request{PlacementHint: options.placementHint, Deadline: options.deadline, RunRequest: &messenger.RunRequest{
		Account:        string(authenticatedAccount(c)),
		Service:        string(service),
		Chat:           uint64(chat.Key),
		Model:          string(chat.Model),
		Adapter:        string(chat.Adapter),
		Method:         fiber.MethodPost,
		Path:           chatCompletionsPath,
		ContentType:    jsonContentType,
		Body:           body,
		IdempotencyKey: options.idempotencyKey,
		Stream:         chat.IsStreaming,
		Priority:       options.priority,
		PromptTokens:   int64(chat.EstimatedPromptTokens),
		Fingerprint:    uint64(chat.Fingerprint),
		FirstTurn:      chat.IsFirstTurn,
		Idempotent:     options.idempotencyKey == "",
	}}
	ctx, span := v.tracer.Start(v.requests, "router.chat", traceHeaders(c))
	response, refusal := v.submitter.Submit(ctx, request)
	if refusal != nil {
		span.End(refusal)

		return v.sendProblem(c, httpStatus(refusal.Code), refusal)
	}
	span.SetAttribute("endpoint", string(response.Endpoint))
	if chat.IsStreaming && !v.buffersResponses(service) {
		return v.sendStream(c, response, span)
	}

	return v.sendBuffered(c, response, span)
}

// serviceForModel returns the service that declares a model and whether there is one.
func (v *Server) serviceForModel(id model.ModelID) (model.ServiceID, bool) {
	var service model.ServiceID
	v.follower.WithView(func(w follower.View) { service = w.Groups.ServiceOf(id) })

	return service, service != ""
}

// buffersResponses reports whether the responses of a service are sent only when complete, even to callers that ask for a
// stream.
func (v *Server) buffersResponses(id model.ServiceID) bool {
	return v.follower.Snapshot().Fleet.Services[id].BufferResponses
}
