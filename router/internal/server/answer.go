package server

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/router/internal/submitter"
)

var endMark = []byte("data: [DONE]")

func setHead(c fiber.Ctx, a *submitter.Answer) {
	c.Status(int(a.Head.Status))
	if a.Head.ContentType != "" {
		c.Set(fiber.HeaderContentType, a.Head.ContentType)
	}
	c.Set(endpointHeader, string(a.Endpoint))
	c.Set(hintHeader, string(a.Endpoint))
	if a.Head.Replayed {
		c.Set(replayedHeader, "true")
	}
}

// sendWhole delivers an answer complete or not at all.
func (v *Server) sendWhole(c fiber.Ctx, a *submitter.Answer, span tracer.Span) error {
	defer a.Close()
	body, err := a.Whole()
	span.End(err)
	if err != nil {
		return v.refuse(c, v.incomplete(err))
	}
	setHead(c, a)

	return c.Send(body)
}

func (v *Server) incomplete(err error) *model.Refusal {
	v.follower.Log.Write(logger.EventIncompleteResponse, logger.Err(err))
	detail := "the answer could not be completed"
	if errors.Is(err, submitter.ErrTooLarge) {
		detail = "the answer is too large"
	}

	return model.NewRefusal(model.CodeIncompleteResponse, detail).
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
}

// sendStream relays pieces as they come; a stream that breaks ends with an error event, never in silence.
func (v *Server) sendStream(c fiber.Ctx, a *submitter.Answer, span tracer.Span) error {
	setHead(c, a)

	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer a.Close()
		span.End(v.relay(w, a))
	})
}

func (v *Server) relay(w *bufio.Writer, a *submitter.Answer) error {
	var last []byte
	for {
		piece, done, err := a.Next()
		if err != nil {
			return v.endBroken(w, err)
		}
		if done {
			return writePiece(w, last)
		}
		if last != nil {
			return v.endBroken(w, submitter.ErrIncomplete)
		}
		// The end mark goes out only once the count and digest of the whole answer have been verified.
		if bytes.HasPrefix(piece, endMark) {
			last = bytes.Clone(piece)

			continue
		}
		if err := writePiece(w, piece); err != nil {
			return err
		}
	}
}

func (v *Server) endBroken(w *bufio.Writer, err error) error {
	if writeErr := writePiece(w, errorEvent(v.incomplete(err))); writeErr != nil {
		return writeErr
	}

	return err
}

func writePiece(w *bufio.Writer, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return err
	}

	return w.Flush()
}
