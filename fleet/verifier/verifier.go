package verifier

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// ErrIncomplete means that pieces are missing or differ from what was sent.
var ErrIncomplete = errors.New("verifier: answer incomplete")

// Verdict says what to do with a piece.
type Verdict string

// The verdicts on a piece.
const (
	VerdictTake    Verdict = "take"
	VerdictCrossed Verdict = "crossed"
	VerdictRepeat  Verdict = "repeat"
	VerdictGap     Verdict = "gap"
)

// Verifier follows the pieces of one attempt.
type Verifier struct {
	attempt string
	next    uint64
	digest  *xxhash.Digest
	broken  bool
	ended   bool
}

// NewVerifier returns a verifier of one attempt.
func NewVerifier(attempt string) *Verifier {
	return &Verifier{attempt: attempt, next: 1, digest: xxhash.New()}
}

// Own tells whether a message belongs to this attempt.
func (v *Verifier) Own(attempt string) bool {
	return attempt == v.attempt
}

// Piece judges a piece by its attempt and number; only taken pieces may be passed on.
func (v *Verifier) Piece(attempt string, number uint64, data []byte) Verdict {
	switch {
	case !v.Own(attempt):
		return VerdictCrossed
	case v.broken || v.ended || number > v.next:
		v.broken = true

		return VerdictGap
	case number < v.next:
		return VerdictRepeat
	}
	v.next++
	_, _ = v.digest.Write(data)

	return VerdictTake
}

// End checks the count and digest of the whole answer, or returns ErrIncomplete.
func (v *Verifier) End(pieces uint64, digest model.Digest) error {
	if v.broken || v.ended || pieces != v.next-1 || uint64(digest) != v.digest.Sum64() {
		v.broken = true

		return ErrIncomplete
	}
	v.ended = true

	return nil
}
