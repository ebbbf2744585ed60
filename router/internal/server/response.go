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

// doneMarker starts the last event of a streamed chat completion.
var doneMarker = []byte("data: [DONE]")

func setResponseHeaders(c fiber.Ctx, r *submitter.Response) {
	c.Status(int(r.Head.Status))
	if r.Head.ContentType != "" {
		c.Set(fiber.HeaderContentType, r.Head.ContentType)
	}
	c.Set(endpointHeader, string(r.Endpoint))
	c.Set(placementHintHeader, string(r.Endpoint))
	if r.Head.Replayed {
		c.Set(replayedHeader, "true")
	}
}

// sendBuffered sends a response after it has arrived completely, or a refusal if it is incomplete.
func (v *Server) sendBuffered(c fiber.Ctx, r *submitter.Response, span tracer.Span) error {
	defer r.Close()
	body, err := r.ReadAll()
	span.End(err)
	if err != nil {
		return v.refuse(c, v.refuseIncomplete(err))
	}
	setResponseHeaders(c, r)

	return c.Send(body)
}

// refuseIncomplete logs the failure of a response that has begun and returns the refusal for the caller.
func (v *Server) refuseIncomplete(err error) *model.Refusal {
	v.follower.Log.Write(logger.EventIncompleteResponse, logger.Err(err))
	detail := "the answer could not be completed"
	if errors.Is(err, submitter.ErrTooLarge) {
		detail = "the answer is too large"
	}

	return model.NewRefusal(model.CodeIncompleteResponse, detail).
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
}

// sendStream forwards the pieces of a response as they arrive. If the response is incomplete, the stream ends with an error
// event.
func (v *Server) sendStream(c fiber.Ctx, r *submitter.Response, span tracer.Span) error {
	setResponseHeaders(c, r)

	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer r.Close()
		span.End(v.relayPieces(w, r))
	})
}

func (v *Server) relayPieces(w *bufio.Writer, r *submitter.Response) error {
	var doneEvent []byte
	for {
		piece, done, err := r.NextPiece()
		if err != nil {
			return v.endWithError(w, err)
		}
		if done {
			return writePiece(w, doneEvent)
		}
		if doneEvent != nil {
			return v.endWithError(w, submitter.ErrIncomplete)
		}
		// The final event is held back until the piece count and digest of the response have been verified.
		if bytes.HasPrefix(piece, doneMarker) {
			doneEvent = bytes.Clone(piece)

			continue
		}
		if err := writePiece(w, piece); err != nil {
			return err
		}
	}
}

// endWithError ends a stream with an error event and returns the error that broke it.
func (v *Server) endWithError(w *bufio.Writer, err error) error {
	if writeErr := writePiece(w, errorEvent(v.refuseIncomplete(err))); writeErr != nil {
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
