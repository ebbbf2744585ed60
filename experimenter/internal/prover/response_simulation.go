package prover

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/verifier"
)

// ResponseVariant disables checks of streamed responses. The zero value is the product as it is.
type ResponseVariant struct {
	// AcceptsAnyAttempt accepts messages of other attempts.
	AcceptsAnyAttempt bool
	// SkipsEndCheck does not compare the end message with the accepted pieces, and accepts pieces after a gap.
	SkipsEndCheck bool
}

const maxPieces = 12

// responseMessage is a piece of a streamed response, or its end message. Pieces are numbered from 1. The end message carries
// the number of pieces and, as data, the whole response, which its digest covers.
type responseMessage struct {
	attemptID string
	number    uint64
	data      []byte
	isEnd     bool
}

// RunResponseSimulation delivers the messages of two responses to one caller: mixed, repeated at once or later, lost or cut
// off. It checks that the caller gets only pieces of its own response, in order, and that a response accepted as complete is
// complete.
func RunResponseSimulation(c Chooser, variant ResponseVariant) *Violation {
	own := newResponse(c, "own")
	foreign := newResponse(c, "other")
	var sent []byte
	for _, m := range own {
		if m.isEnd {
			continue
		}
		sent = append(sent, m.data...)
	}
	messages := injectMessageFaults(c, own, foreign)
	responseVerifier := verifier.NewVerifier("own")
	var forwarded []byte
	isComplete := false
	for _, m := range messages {
		if variant.AcceptsAnyAttempt {
			m.attemptID = "own"
		}
		if !responseVerifier.MatchesAttempt(m.attemptID) {
			continue
		}
		if m.isEnd {
			isComplete = variant.SkipsEndCheck || responseVerifier.CheckEnd(m.number, model.Digest(xxhash.Sum64(m.data))) == nil

			break
		}
		verdict := responseVerifier.CheckPiece(m.attemptID, m.number, m.data)
		if verdict == verifier.VerdictAccept || (variant.SkipsEndCheck && verdict == verifier.VerdictGap) {
			forwarded = append(forwarded, m.data...)
		}
	}
	if isComplete && !bytes.Equal(forwarded, sent) {
		return &Violation{Property: "complete own response", Detail: fmt.Sprintf("got %q, want %q", forwarded, sent)}
	}
	if !variant.AcceptsAnyAttempt && !variant.SkipsEndCheck && !bytes.HasPrefix(sent, forwarded) {
		return &Violation{
			Property: "complete own response",
			Detail:   fmt.Sprintf("forwarded %q, which is not a prefix of %q", forwarded, sent),
		}
	}

	return nil
}

// newResponse returns the messages of a response with a random number of pieces.
func newResponse(c Chooser, attemptID string) []responseMessage {
	var messages []responseMessage
	var body []byte
	count := 1 + c(maxPieces)
	for n := range count {
		data := []byte(fmt.Sprintf("%s-%d ", attemptID, n))
		body = append(body, data...)
		messages = append(messages, responseMessage{attemptID: attemptID, number: uint64(n + 1), data: data})
	}

	return append(messages, responseMessage{attemptID: attemptID, number: uint64(count), data: body, isEnd: true})
}

// injectMessageFaults interleaves the messages of two responses and drops, repeats or cuts off some of them.
func injectMessageFaults(c Chooser, own, foreign []responseMessage) []responseMessage {
	var delivered []responseMessage
	for len(own) > 0 || len(foreign) > 0 {
		source := &own
		if len(own) == 0 || (len(foreign) > 0 && c.oneIn(3)) {
			source = &foreign
		}
		m := (*source)[0]
		*source = (*source)[1:]
		switch c(12) {
		case 0:
			continue
		case 1:
			delivered = append(delivered, m, m)
		case 2:
			if len(delivered) > 0 {
				delivered = append(delivered, delivered[c(len(delivered))])
			}
			delivered = append(delivered, m)
		case 3:
			if c.oneIn(4) {
				return delivered
			}
			delivered = append(delivered, m)
		default:
			delivered = append(delivered, m)
		}
	}

	return delivered
}
