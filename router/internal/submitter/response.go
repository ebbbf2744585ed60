package submitter

import (
	"errors"

	"connectrpc.com/connect"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/verifier"
)

// Errors to test with errors.Is.
var (
	// ErrIncomplete means that a response ended early or that its piece count or digest did not match.
	ErrIncomplete = errors.New("submitter: answer incomplete")
	// ErrTooLarge means that a buffered response exceeds 16 MiB.
	ErrTooLarge = errors.New("submitter: answer too large")
)

const (
	maxResponseBytes = 16 << 20
	// maxMessageBytes bounds a message of a sidecar: a whole response and what is around it.
	maxMessageBytes = maxResponseBytes + 64<<10
)

// Response is a response that has begun. Its pieces are read one by one with NextPiece or all at once with ReadAll. It must
// be closed.
type Response struct {
	// Endpoint is the endpoint that serves the request, as named in the head of the response.
	Endpoint model.EndpointID
	Head     *messenger.Head
	// CachedTokens is the number of prompt tokens found in the prefix cache. It is set at the end of the response.
	CachedTokens model.Tokens

	submitter *Submitter
	attemptID string
	// target is the endpoint that the attempt was sent to.
	target   model.EndpointID
	stream   *connect.ServerStreamForClient[messenger.RunEvent]
	cancel   func()
	verifier *verifier.Verifier
}

func newResponse(s *Submitter, r *Request, t target, stream *connect.ServerStreamForClient[messenger.RunEvent], cancel func()) *Response {
	return &Response{
		submitter: s,
		attemptID: r.RunRequest.AttemptId,
		target:    t.id,
		stream:    stream,
		cancel:    cancel,
		verifier:  verifier.NewVerifier(r.RunRequest.AttemptId),
	}
}

// handleFirstEvent processes the first event of the stream, which is the head of the response or a refusal.
func (r *Response) handleFirstEvent(first *messenger.RunEvent) *model.Refusal {
	if !r.verifier.MatchesAttempt(first.AttemptId) {
		r.recordMismatch()

		return model.NewRefusal(model.CodeEndpointFailed, "an answer to another attempt arrived").
			WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
	}
	if refusal := first.GetRefusal(); refusal != nil {
		return &model.Refusal{
			Code:         model.Code(refusal.Code),
			Detail:       refusal.Detail,
			Outcome:      model.Outcome(refusal.Outcome),
			RetryAfter:   timekeeper.Millis(refusal.RetryAfterMs),
			NextEndpoint: model.EndpointID(refusal.NextEndpoint),
			IsFinal:      refusal.Final,
		}
	}
	r.Head = first.GetHead()
	if r.Head == nil {
		return model.NewRefusal(model.CodeEndpointFailed, "the answer has no head").
			WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
	}
	r.Endpoint = model.EndpointID(r.Head.Endpoint)

	return nil
}

// recordMismatch counts and logs an event that belongs to another attempt.
func (r *Response) recordMismatch() {
	responseMismatchesTotal.Inc()
	r.submitter.follower.Log.Write(logger.EventResponseMismatch, logger.String("attempt", r.attemptID))
}

// NextPiece returns the next piece of the body. When the response has ended, done is true if it was verified to be complete,
// and the error is ErrIncomplete otherwise.
func (r *Response) NextPiece() (piece []byte, done bool, err error) {
	for r.stream.Receive() {
		e := r.stream.Msg()
		if !r.verifier.MatchesAttempt(e.AttemptId) {
			r.recordMismatch()

			continue
		}
		r.submitter.observeLoad(r.target, e.Load)
		if p := e.GetPiece(); p != nil {
			switch r.verifier.CheckPiece(e.AttemptId, p.Number, p.Data) {
			case verifier.VerdictAccept:
				return p.Data, false, nil
			case verifier.VerdictGap:
				return nil, false, ErrIncomplete
			default:
				continue
			}
		}
		if end := e.GetEnd(); end != nil {
			r.CachedTokens = model.Tokens(end.CachedTokens)
			if r.verifier.CheckEnd(end.Pieces, model.Digest(end.Digest)) != nil {
				return nil, false, ErrIncomplete
			}

			return nil, true, nil
		}
		if e.GetRefusal() != nil {
			return nil, false, ErrIncomplete
		}
	}

	return nil, false, ErrIncomplete
}

// ReadAll returns the complete body. It returns ErrIncomplete or ErrTooLarge if that fails.
func (r *Response) ReadAll() ([]byte, error) {
	var body []byte
	for {
		piece, done, err := r.NextPiece()
		if err != nil {
			return nil, err
		}
		if done {
			return body, nil
		}
		body = append(body, piece...)
		if len(body) > maxResponseBytes {
			return nil, ErrTooLarge
		}
	}
}

// Close ends the attempt and cancels the request if the endpoint is still running it. A request with an idempotency key is
// not cancelled.
func (r *Response) Close() {
	r.cancel()
	_ = r.stream.Close()
}
