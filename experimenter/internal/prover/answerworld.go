package prover

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/verifier"
)

// AnswerVariant weakens the check of answers, to show that the schedules find what it is for.
type AnswerVariant struct {
	TakesAnyAttempt bool
	SkipsEnd        bool
}

const maxPieces = 12

type answerMessage struct {
	attempt string
	number  uint64
	data    []byte
	end     bool
}

// RunAnswerSchedule delivers the messages of two answers crossed, late, twice, cut or changed to one caller.
func RunAnswerSchedule(c Chooser, variant AnswerVariant) *Violation {
	own := answerOf(c, "own")
	other := answerOf(c, "other")
	var sent []byte
	for _, m := range own {
		if m.end {
			continue
		}
		sent = append(sent, m.data...)
	}
	wire := disturb(c, own, other)
	v := verifier.NewVerifier("own")
	var delivered []byte
	whole := false
	for _, m := range wire {
		if variant.TakesAnyAttempt {
			m.attempt = "own"
		}
		if !v.MatchesAttempt(m.attempt) {
			continue
		}
		if m.end {
			whole = variant.SkipsEnd || v.CheckEnd(m.number, model.Digest(xxhash.Sum64(m.data))) == nil

			break
		}
		verdict := v.CheckPiece(m.attempt, m.number, m.data)
		if verdict == verifier.VerdictAccept || (variant.SkipsEnd && verdict == verifier.VerdictGap) {
			delivered = append(delivered, m.data...)
		}
	}
	if whole && !bytes.Equal(delivered, sent) {
		return &Violation{Promise: "whole own answer", Detail: fmt.Sprintf("got %q for %q", delivered, sent)}
	}
	if !variant.TakesAnyAttempt && !variant.SkipsEnd && !bytes.HasPrefix(sent, delivered) {
		return &Violation{Promise: "whole own answer", Detail: fmt.Sprintf("passed on %q of %q", delivered, sent)}
	}

	return nil
}

// answerOf makes the messages of one answer; the data of the end mark is the whole answer, which its digest covers.
func answerOf(c Chooser, attempt string) []answerMessage {
	var messages []answerMessage
	var all []byte
	count := 1 + c(maxPieces)
	for n := range count {
		data := []byte(fmt.Sprintf("%s-%d ", attempt, n))
		all = append(all, data...)
		messages = append(messages, answerMessage{attempt: attempt, number: uint64(n + 1), data: data})
	}

	return append(messages, answerMessage{attempt: attempt, number: uint64(count), data: all, end: true})
}

func disturb(c Chooser, own, other []answerMessage) []answerMessage {
	var wire []answerMessage
	for len(own) > 0 || len(other) > 0 {
		from := &own
		if len(own) == 0 || (len(other) > 0 && c.chance(3)) {
			from = &other
		}
		m := (*from)[0]
		*from = (*from)[1:]
		switch c(12) {
		case 0:
			continue
		case 1:
			wire = append(wire, m, m)
		case 2:
			if len(wire) > 0 {
				wire = append(wire, wire[c(len(wire))])
			}
			wire = append(wire, m)
		case 3:
			if c.chance(4) {
				return wire
			}
			wire = append(wire, m)
		default:
			wire = append(wire, m)
		}
	}

	return wire
}
