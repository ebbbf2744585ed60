package verifier

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// ErrIncomplete means that pieces of the answer are missing or differ from what the sender sent.
var ErrIncomplete = errors.New("verifier: answer incomplete")

// Verdict is the result of checking a piece.
type Verdict string

// Verdicts on a piece.
const (
	// VerdictAccept means that the piece is the next one and may be forwarded.
	VerdictAccept Verdict = "take"
	// VerdictWrongAttempt means that the piece belongs to another attempt; logs and metrics call it a crossed answer.
	VerdictWrongAttempt Verdict = "crossed"
	// VerdictDuplicate means that the piece has already been accepted.
	VerdictDuplicate Verdict = "repeat"
	// VerdictGap means that an earlier piece is missing or that the answer has already ended or failed.
	VerdictGap Verdict = "gap"
)

// Verifier tracks the pieces of one attempt's answer. It is not safe for concurrent use.
type Verifier struct {
	attempt    string
	nextNumber uint64
	digest     *xxhash.Digest
	broken     bool
	ended      bool
}

// NewVerifier returns a verifier for the attempt with the given id.
func NewVerifier(attempt string) *Verifier {
	return &Verifier{attempt: attempt, nextNumber: 1, digest: xxhash.New()}
}

// MatchesAttempt reports whether a message with the given attempt id belongs to this attempt.
func (v *Verifier) MatchesAttempt(attempt string) bool {
	return attempt == v.attempt
}

// CheckPiece checks a piece's attempt id and number, which starts at 1. Only accepted pieces may be forwarded.
func (v *Verifier) CheckPiece(attempt string, number uint64, data []byte) Verdict {
	switch {
	case !v.MatchesAttempt(attempt):
		return VerdictWrongAttempt
	case v.broken || v.ended || number > v.nextNumber:
		v.broken = true

		return VerdictGap
	case number < v.nextNumber:
		return VerdictDuplicate
	}
	v.nextNumber++
	_, _ = v.digest.Write(data)

	return VerdictAccept
}

// CheckEnd compares the number and xxHash digest of the accepted pieces with those that the sender reports at the end. It
// returns ErrIncomplete if they differ.
func (v *Verifier) CheckEnd(pieces uint64, digest model.Digest) error {
	if v.broken || v.ended || pieces != v.nextNumber-1 || uint64(digest) != v.digest.Sum64() {
		v.broken = true

		return ErrIncomplete
	}
	v.ended = true

	return nil
}
