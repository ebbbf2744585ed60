package model

import "cardamompulley/fleet/timekeeper"

// AttemptID names one attempt of a caller.
type AttemptID string

// PromptPart is one part of a prompt; requests that share their first parts share cached tokens.
type PromptPart struct {
	ID     uint64
	Tokens Tokens
}

// Facts is what a request says of itself.
type Facts struct {
	Attempt AttemptID
	// Key is the secret of the client account.
	Key string
	// Left is how long the caller waits; zero means that it did not say.
	Left   timekeeper.Millis
	Model  ModelID
	Prompt []PromptPart
	// PromptTokens and OutputTokens are the caller's own counts; OutputTokens is a maximum.
	PromptTokens Tokens
	OutputTokens Tokens
	// OutputHint is the caller's estimate of the output, zero when it gave none.
	OutputHint Tokens
	// LastEvent is the last event of a stream that the caller already has.
	LastEvent string
}

// Shared returns the parts of the prompt that other requests may share.
func (f *Facts) Shared() []PromptPart {
	if len(f.Prompt) < 2 {
		return f.Prompt
	}

	return f.Prompt[:len(f.Prompt)-1]
}

// Session returns the id of the last part that other requests may share, or zero.
func (f *Facts) Session() uint64 {
	switch n := len(f.Prompt); n {
	case 0:
		return 0
	case 1:
		return f.Prompt[0].ID
	default:
		return f.Prompt[n-2].ID
	}
}
