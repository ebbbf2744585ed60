package parser

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// ErrBadRequest is matched by every fault in a caller's request.
var ErrBadRequest = errors.New("parser: bad request")

const charactersPerToken = 4

// Chat is what the router needs to know of a chat completion request.
type Chat struct {
	Model        model.ModelID
	Adapter      model.AdapterID
	Stream       bool
	Key          model.ChatKey
	FirstTurn    bool
	PromptTokens model.Tokens
	Fingerprint  model.Fingerprint
}

type chatBody struct {
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

// ParseChat reads an OpenAI-compatible chat completion body, or returns ErrBadRequest.
func ParseChat(account model.AccountID, raw []byte) (Chat, error) {
	var b chatBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return Chat{}, fmt.Errorf("%w: body: %w", ErrBadRequest, err)
	}
	if b.Model == "" {
		return Chat{}, fmt.Errorf("%w: model is missing", ErrBadRequest)
	}
	var messages []message
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return Chat{}, fmt.Errorf("%w: messages must be a list that is not empty", ErrBadRequest)
	}
	if b.MaxTokens < 0 {
		return Chat{}, fmt.Errorf("%w: max_tokens is negative", ErrBadRequest)
	}
	name, adapter, _ := strings.Cut(b.Model, ":")

	return Chat{
		Model:        model.ModelID(name),
		Adapter:      model.AdapterID(adapter),
		Stream:       b.Stream,
		Key:          chatKey(account, &b, messages),
		FirstTurn:    !hasAnswer(messages),
		PromptTokens: model.Tokens(len(b.Messages) / charactersPerToken),
		Fingerprint:  fingerprint(account, b.Model, b.Messages),
	}, nil
}

// ChatKeyOf returns the key of a chat that its caller names by prompt_cache_key.
func ChatKeyOf(account model.AccountID, name, cacheKey string) model.ChatKey {
	return chatKey(account, &chatBody{Model: name, PromptCacheKey: cacheKey}, nil)
}

func hasAnswer(messages []message) bool {
	for i := range messages {
		if messages[i].Role == "assistant" {
			return true
		}
	}

	return false
}

// chatKey is the caller's own key of the chat, else the messages up to the first of the user, which every turn repeats.
func chatKey(account model.AccountID, b *chatBody, messages []message) model.ChatKey {
	d := xxhash.New()
	write(d, string(account), b.Model, b.PromptCacheKey)
	if b.PromptCacheKey == "" {
		for i := range messages {
			write(d, messages[i].Role, string(messages[i].Content))
			if messages[i].Role == "user" {
				break
			}
		}
	}

	return model.ChatKey(max(d.Sum64(), 1))
}

// fingerprint covers the fields that decide what an endpoint computes and leaves out those that vary with each send.
func fingerprint(account model.AccountID, name string, messages json.RawMessage) model.Fingerprint {
	d := xxhash.New()
	write(d, string(account), name, string(messages))

	return model.Fingerprint(d.Sum64())
}

func write(d *xxhash.Digest, parts ...string) {
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
}

// FingerprintCall identifies a call to a plain service by its content.
func FingerprintCall(account model.AccountID, service model.ServiceID, method, path string, body []byte) model.Fingerprint {
	d := xxhash.New()
	write(d, string(account), string(service), method, path)
	_, _ = d.Write(body)

	return model.Fingerprint(d.Sum64())
}
