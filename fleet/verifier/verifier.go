package verifier

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// ErrIncomplete means that pieces of the response are missing or differ from what the sender sent.
var ErrIncomplete = errors.New("verifier: answer incomplete")

// Verdict is the result of checking a piece.
type Verdict string

// Verdicts on a piece.
const (
	// VerdictAccept means that the piece is the next one and may be forwarded.
	VerdictAccept Verdict = "take"
	// VerdictMismatch means that the piece belongs to another attempt; logs and metrics call it a crossed answer.
	VerdictMismatch Verdict = "crossed"
	// VerdictDuplicate means that the piece has already been accepted.
	VerdictDuplicate Verdict = "repeat"
	// VerdictGap means that an earlier piece is missing or that the response has already ended or failed.
	VerdictGap Verdict = "gap"
)

// Verifier tracks the pieces of one attempt's response. It is not safe for concurrent use.
type Verifier struct {
	attemptID  string
	nextNumber uint64
	digest     *xxhash.Digest
	isBroken   bool
	hasEnded   bool
}

// NewVerifier returns a verifier for the attempt with the given ID.
func NewVerifier(attemptID string) *Verifier {
	return &Verifier{attemptID: attemptID, nextNumber: 1, digest: xxhash.New()}
}

// MatchesAttempt reports whether a message with the given attempt ID belongs to this attempt.
func (v *Verifier) MatchesAttempt(attemptID string) bool {
	return attemptID == v.attemptID
}

// CheckPiece checks a piece's attempt ID and number, which starts at 1. Only accepted pieces may be forwarded.
func (v *Verifier) CheckPiece(attemptID string, number uint64, data []byte) Verdict {
	switch {
	case !v.MatchesAttempt(attemptID):
		return VerdictMismatch
	case v.isBroken || v.hasEnded || number > v.nextNumber:
		v.isBroken = true

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
	if v.isBroken || v.hasEnded || pieces != v.nextNumber-1 || uint64(digest) != v.digest.Sum64() {
		v.isBroken = true

		return ErrIncomplete
	}
	v.hasEnded = true

	return nil
}
