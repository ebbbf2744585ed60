package model

import "cardamompulley/fleet/timekeeper"

// AttemptID identifies one attempt at a request, set by the caller.
type AttemptID string

// PromptPart is a segment of a prompt. Requests whose prompts begin with the same parts can share cached tokens.
type PromptPart struct {
	ID     uint64
	Tokens Tokens
}

// RequestMetadata holds what the headers of a request declare about it.
type RequestMetadata struct {
	AttemptID AttemptID
	// APIKey authenticates the client account.
	APIKey string
	// Timeout is the time for which the caller waits for the response; zero if not given.
	Timeout timekeeper.Millis
	Model   ModelID
	Prompt  []PromptPart
	// PromptTokens and MaxOutputTokens are declared by the caller.
	PromptTokens    Tokens
	MaxOutputTokens Tokens
	// EstimatedOutputTokens is the caller's estimate of the output length; zero if not given.
	EstimatedOutputTokens Tokens
	// LastEventID is the ID of the last stream event that the caller has received.
	LastEventID string
	// Resumes is the attempt that brought the first event of the stream that the caller resumes; empty if none is named.
	Resumes AttemptID
}

// PartsBeforeLast returns the parts of the prompt except the last, which belongs to the request alone.
func (m *RequestMetadata) PartsBeforeLast() []PromptPart {
	return m.Prompt[:max(len(m.Prompt)-1, 0)]
}

// SharedPrefix returns the parts of the prompt that other requests can share: all parts except the last. A prompt of one
// part is returned whole.
func (m *RequestMetadata) SharedPrefix() []PromptPart {
	if len(m.Prompt) < 2 {
		return m.Prompt
	}

	return m.PartsBeforeLast()
}

// OwnTokens returns the length of the last part of a prompt of several parts, which belongs to the request alone.
func (m *RequestMetadata) OwnTokens() Tokens {
	if n := len(m.Prompt); n > 1 {
		return m.Prompt[n-1].Tokens
	}

	return 0
}

// SessionID returns the ID of the last part of the shared prefix, or zero if the request has no prompt.
func (m *RequestMetadata) SessionID() uint64 {
	switch n := len(m.Prompt); n {
	case 0:
		return 0
	case 1:
		return m.Prompt[0].ID
	default:
		return m.Prompt[n-2].ID
	}
}
