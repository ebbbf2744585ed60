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

// Errors that callers test with errors.Is.
var (
	// ErrIncomplete means that an answer ended before its verified end mark.
	ErrIncomplete = errors.New("submitter: answer incomplete")
	// ErrTooLarge means that a whole answer is over the size limit.
	ErrTooLarge = errors.New("submitter: answer too large")
)

const maxWholeBytes = 16 << 20

// Answer is an answer that has begun; pieces follow until a verified end.
type Answer struct {
	Endpoint model.EndpointID
	Head     *messenger.Head
	Cached   model.Tokens

	submitter *Submitter
	attempt   string
	id        model.EndpointID
	stream    *connect.ServerStreamForClient[messenger.RunEvent]
	cancel    func()
	verifier  *verifier.Verifier
}

func newAnswer(s *Submitter, r *Request, t target, events *connect.ServerStreamForClient[messenger.RunEvent], cancel func()) *Answer {
	return &Answer{
		submitter: s,
		attempt:   r.Run.AttemptId,
		id:        t.id,
		stream:    events,
		cancel:    cancel,
		verifier:  verifier.NewVerifier(r.Run.AttemptId),
	}
}

// start reads the first event: the head of an answer, or a refusal.
func (a *Answer) start(first *messenger.RunEvent) *model.Refusal {
	if !a.verifier.MatchesAttempt(first.AttemptId) {
		a.reportCrossed()

		return model.NewRefusal(model.CodeEndpointFailed, "an answer to another attempt arrived").
			WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
	}
	if r := first.GetRefusal(); r != nil {
		return &model.Refusal{
			Code:         model.Code(r.Code),
			Detail:       r.Detail,
			Outcome:      model.Outcome(r.Outcome),
			RetryAfter:   timekeeper.Millis(r.RetryAfterMs),
			NextEndpoint: model.EndpointID(r.NextEndpoint),
			Final:        r.Final,
		}
	}
	a.Head = first.GetHead()
	if a.Head == nil {
		return model.NewRefusal(model.CodeEndpointFailed, "the answer has no head").
			WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
	}
	a.Endpoint = model.EndpointID(a.Head.Endpoint)

	return nil
}

func (a *Answer) reportCrossed() {
	crossed.Inc()
	a.submitter.follower.Log.Write(logger.EventResponseMismatch, logger.String("attempt", a.attempt))
}

// Next returns the next piece; done is true after a verified end, and the error is ErrIncomplete for any other end.
func (a *Answer) Next() (piece []byte, done bool, err error) {
	for a.stream.Receive() {
		e := a.stream.Msg()
		if !a.verifier.MatchesAttempt(e.AttemptId) {
			a.reportCrossed()

			continue
		}
		a.submitter.observe(a.id, e.Load)
		if p := e.GetPiece(); p != nil {
			switch a.verifier.CheckPiece(e.AttemptId, p.Number, p.Data) {
			case verifier.VerdictAccept:
				return p.Data, false, nil
			case verifier.VerdictGap:
				return nil, false, ErrIncomplete
			default:
				continue
			}
		}
		if end := e.GetEnd(); end != nil {
			a.Cached = model.Tokens(end.CachedTokens)
			if a.verifier.CheckEnd(end.Pieces, model.Digest(end.Digest)) != nil {
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

// Whole gathers the complete body, or returns ErrIncomplete or ErrTooLarge.
func (a *Answer) Whole() ([]byte, error) {
	var body []byte
	for {
		piece, done, err := a.Next()
		if err != nil {
			return nil, err
		}
		if done {
			return body, nil
		}
		body = append(body, piece...)
		if len(body) > maxWholeBytes {
			return nil, ErrTooLarge
		}
	}
}

// Close ends the attempt; an endpoint that still runs it is told to stop.
func (a *Answer) Close() {
	a.cancel()
	_ = a.stream.Close()
}
