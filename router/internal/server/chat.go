package server

import (
	"bytes"
	"context"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/router/internal/parser"
	"cardamompulley/router/internal/submitter"
)

const (
	chatPath = "/v1/chat/completions"
	jsonType = "application/json"
)

// handleChat serves an OpenAI-compatible chat completion.
func (v *Server) handleChat(c fiber.Ctx) error {
	b, err := v.readBounds(c)
	if err != nil {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	body := bytes.Clone(c.Body())
	chat, err := parser.ParseChatRequest(accountOf(c), body)
	if err != nil {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	service, ok := v.serviceOfModel(chat.Model)
	if !ok {
		return v.refuse(c, model.NewRefusal(model.CodeUnknownModel, "no service declares the model "+string(chat.Model)))
	}
	if b.key != "" && chat.IsStreaming {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, "a chat with an "+keyHeader+" cannot be streamed"))
	}
	request := &submitter.Request{Hint: b.hint, Deadline: b.deadline, Run: &messenger.RunRequest{
		Account:        string(accountOf(c)),
		Service:        string(service),
		Chat:           uint64(chat.Key),
		Model:          string(chat.Model),
		Adapter:        string(chat.Adapter),
		Method:         fiber.MethodPost,
		Path:           chatPath,
		ContentType:    jsonType,
		Body:           body,
		IdempotencyKey: b.key,
		Stream:         chat.IsStreaming,
		Priority:       b.priority,
		PromptTokens:   int64(chat.EstimatedPromptTokens),
		Fingerprint:    uint64(chat.Fingerprint),
		FirstTurn:      chat.IsFirstTurn,
		Idempotent:     b.key == "",
	}}
	ctx, span := v.tracer.Start(context.Background(), "router.chat", traceHeaders(c))
	answer, refusal := v.submitter.Submit(ctx, request)
	if refusal != nil {
		span.End(refusal)

		return v.sendProblem(c, statusOf(refusal.Code), refusal)
	}
	span.SetAttribute("endpoint", string(answer.Endpoint))
	if chat.IsStreaming && !v.wholeOnly(service) {
		return v.sendStream(c, answer, span)
	}

	return v.sendWhole(c, answer, span)
}

func (v *Server) serviceOfModel(id model.ModelID) (model.ServiceID, bool) {
	var service model.ServiceID
	v.follower.WithView(func(w follower.View) { service = w.Groups.ServiceOf(id) })

	return service, service != ""
}

func (v *Server) wholeOnly(id model.ServiceID) bool {
	return v.follower.Snapshot().Fleet.Services[id].BufferResponses
}
