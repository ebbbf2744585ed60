package parser

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// ErrBadRequest reports that a caller's request is invalid.
var ErrBadRequest = errors.New("parser: bad request")

// bytesPerToken estimates the number of prompt tokens from the size of the messages.
const bytesPerToken = 4

// ChatRequest holds the fields of a chat completion request that the router uses.
type ChatRequest struct {
	Model model.ModelID
	// Adapter is the part of the model name after the colon, empty if there is none.
	Adapter     model.AdapterID
	IsStreaming bool
	// Key is the same for every turn of the chat.
	Key model.ChatKey
	// IsFirstTurn is true if the messages contain no response of the assistant.
	IsFirstTurn bool
	// EstimatedPromptTokens is derived from the size of the messages.
	EstimatedPromptTokens model.Tokens
	Fingerprint           model.Fingerprint
}

type chatRequestBody struct {
	Model          string          `json:"model"`
	Stream         bool            `json:"stream"`
	Messages       json.RawMessage `json:"messages"`
	PromptCacheKey string          `json:"prompt_cache_key"`
	MaxTokens      model.Tokens    `json:"max_tokens"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChatRequest parses the body of an OpenAI-compatible chat completion request. Errors match ErrBadRequest.
func ParseChatRequest(account model.AccountID, body []byte) (ChatRequest, error) {
	var b chatRequestBody
	if err := json.Unmarshal(body, &b); err != nil {
		return ChatRequest{}, fmt.Errorf("%w: body: %w", ErrBadRequest, err)
	}
	if b.Model == "" {
		return ChatRequest{}, fmt.Errorf("%w: model is missing", ErrBadRequest)
	}
	var messages []message
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return ChatRequest{}, fmt.Errorf("%w: messages must be a list that is not empty", ErrBadRequest)
	}
	if b.MaxTokens < 0 {
		return ChatRequest{}, fmt.Errorf("%w: max_tokens is negative", ErrBadRequest)
	}
	name, adapter, _ := strings.Cut(b.Model, ":")

	return ChatRequest{
		Model:                 model.ModelID(name),
		Adapter:               model.AdapterID(adapter),
		IsStreaming:           b.Stream,
		Key:                   hashChatKey(account, &b, messages),
		IsFirstTurn:           !hasAssistantMessage(messages),
		EstimatedPromptTokens: model.Tokens(len(b.Messages) / bytesPerToken),
		Fingerprint:           fingerprintMessages(account, b.Model, b.Messages),
	}, nil
}

// ChatKeyFromCacheKey returns the key of a chat that the caller identifies by its prompt_cache_key. The model name may
// include an adapter.
func ChatKeyFromCacheKey(account model.AccountID, modelName, cacheKey string) model.ChatKey {
	return hashChatKey(account, &chatRequestBody{Model: modelName, PromptCacheKey: cacheKey}, nil)
}

func hasAssistantMessage(messages []message) bool {
	for i := range messages {
		if messages[i].Role == "assistant" {
			return true
		}
	}

	return false
}

// hashChatKey hashes the caller's prompt_cache_key. Without one it hashes the messages up to the first user message, because
// every turn of a chat repeats these.
func hashChatKey(account model.AccountID, b *chatRequestBody, messages []message) model.ChatKey {
	d := xxhash.New()
	writeDelimited(d, string(account), b.Model, b.PromptCacheKey)
	if b.PromptCacheKey == "" {
		for i := range messages {
			writeDelimited(d, messages[i].Role, string(messages[i].Content))
			if messages[i].Role == "user" {
				break
			}
		}
	}

	// Zero is reserved for requests without a chat.
	return model.ChatKey(max(d.Sum64(), 1))
}

// fingerprintMessages hashes the fields that determine what an endpoint computes and omits those that change with each send.
func fingerprintMessages(account model.AccountID, modelName string, messages json.RawMessage) model.Fingerprint {
	d := xxhash.New()
	writeDelimited(d, string(account), modelName, string(messages))

	return model.Fingerprint(d.Sum64())
}

// writeDelimited adds a zero byte after each part, so that the same text split differently has another hash.
func writeDelimited(d *xxhash.Digest, parts ...string) {
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
}

// FingerprintCall returns the fingerprint of a request to a plain service: the hash of its account, service, method, path
// and body.
func FingerprintCall(account model.AccountID, service model.ServiceID, method, path string, body []byte) model.Fingerprint {
	d := xxhash.New()
	writeDelimited(d, string(account), string(service), method, path)
	_, _ = d.Write(body)

	return model.Fingerprint(d.Sum64())
}
