package worker

import (
	"context"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/checker"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/sidecar/internal/relayer"
)

// errEndpointRejected means that a model engine responded with 503.
var errEndpointRejected = errors.New("worker: endpoint turned the request away")

// execute sends a request to the endpoint and forwards its response, or stores it if the request has an idempotency key.
func (w *Worker) execute(ctx context.Context, j *job) *model.Refusal {
	ctx, cancel := context.WithTimeout(ctx, (j.deadline - w.clock.Now()).Duration())
	defer cancel()
	s := &responseSink{worker: w, job: j, digest: xxhash.New()}
	j.reachedEndpoint = true
	stats, err := w.relayer.Relay(ctx, w.endpointRequest(ctx, j), relayer.Sink{OnHead: s.onHead, OnPiece: s.onPiece})
	j.sample = newSample(j.request, stats)
	if err != nil {
		return w.handleRelayError(ctx, j, err)
	}
	if j.hasIdempotencyKey() {
		j.storedResponse = &s.storedResponse

		return nil
	}
	_ = j.send(&messenger.RunEvent{
		Event: &messenger.RunEvent_End{End: &messenger.End{
			Pieces: s.pieceCount, Digest: s.digest.Sum64(), CachedTokens: int64(stats.CachedTokens),
		}},
		Load: w.currentLoad(),
	})

	return nil
}

// endpointRequest returns the request for the endpoint, with the trace context added.
func (w *Worker) endpointRequest(ctx context.Context, j *job) *relayer.Request {
	r := j.request
	header := http.Header{}
	w.tracer.Inject(ctx, header)

	return &relayer.Request{
		AttemptID:      r.AttemptId,
		Method:         r.Method,
		Path:           r.Path,
		ContentType:    r.ContentType,
		Body:           r.Body,
		IdempotencyKey: model.IdempotencyKey(r.IdempotencyKey),
		Account:        model.AccountID(r.Account),
		IsStreaming:    r.Stream,
		Priority:       int(r.Priority),
		Header:         header,
	}
}

// newSample converts the figures of a response to a sample for the concurrency limiter.
func newSample(r *messenger.RunRequest, stats relayer.Stats) admitter.Sample {
	sample := admitter.Sample{
		UncachedTokens: max(0, model.Tokens(r.PromptTokens)-stats.CachedTokens),
		FirstToken:     stats.TimeToFirstPiece,
	}
	if stats.PieceCount > 1 {
		sample.TokenGap = (stats.TimeToLastPiece - stats.TimeToFirstPiece) / timekeeper.Millis(stats.PieceCount-1)
	}

	return sample
}

// handleRelayError returns the refusal for an error of the relayer, with the outcome unknown unless the request was not
// sent. Depending on the error it probes the endpoint for a crash, discards the latency sample and announces the request as
// a suspect.
func (w *Worker) handleRelayError(ctx context.Context, j *job, err error) *model.Refusal {
	j.sample.HasFailed = true
	refusal := newRelayRefusal(err)
	w.log.Write(logger.EventAttemptFailed, logger.String("attempt", j.request.AttemptId), logger.Err(err))
	switch {
	case errors.Is(err, errRouterDisconnected):
		j.sample = admitter.Sample{}
		refusal.Code = model.CodeIncompleteResponse

		return refusal
	case errors.Is(err, errEndpointRejected):
		refusal.Code = model.CodeOverloaded

		return refusal
	case errors.Is(err, relayer.ErrResponseMismatch):
		responseMismatchesTotal.Inc()
		w.log.Write(logger.EventResponseMismatch, logger.String("attempt", j.request.AttemptId))

		return refusal
	case errors.Is(err, relayer.ErrNotSent):
		j.reachedEndpoint = false
		w.prober.Probe(context.WithoutCancel(ctx), true)

		return model.NewRefusal(model.CodeEndpointUnreachable, "the endpoint does not answer").
			WithRetryAfter(timekeeper.Second)
	case ctx.Err() != nil && !errors.Is(err, relayer.ErrStalled):
		j.sample = admitter.Sample{}
		refusal.Code = model.CodeDeadlineTooShort

		return refusal
	}
	if errors.Is(err, relayer.ErrIncomplete) {
		refusal.Code = model.CodeIncompleteResponse
		w.log.Write(logger.EventIncompleteResponse, logger.String("attempt", j.request.AttemptId))
	}
	w.prober.Probe(context.WithoutCancel(ctx), true)
	w.announceSuspect(ctx, j)

	return refusal
}

// relayReasons are what callers are told of errors of the relayer. What the endpoint has sent, and its address, are for the log alone.
var relayReasons = []error{
	errRouterDisconnected, errEndpointRejected, checker.ErrMalformed, relayer.ErrNotSent, relayer.ErrStalled, relayer.ErrIncomplete,
	relayer.ErrResponseMismatch, relayer.ErrTooLarge, relayer.ErrConnectionFailed,
}

// newRelayRefusal returns the refusal for an error of the relayer after which the request may have run.
func newRelayRefusal(err error) *model.Refusal {
	detail := relayer.ErrConnectionFailed.Error()
	for _, reason := range relayReasons {
		if errors.Is(err, reason) {
			detail = reason.Error()

			break
		}
	}

	return model.NewRefusal(model.CodeEndpointFailed, detail).WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
}

// responseSink forwards a response to the router, or buffers it if the request has an idempotency key, because the response
// of a key is stored for retries.
type responseSink struct {
	worker            *Worker
	job               *job
	digest            *xxhash.Digest
	pieceCount        uint64
	hasRecordedHolder bool
	storedResponse    deduplicator.StoredResponse
}

// onHead treats a 503 response of a model engine as overload: it puts the concurrency limiter into its cold start and
// returns errEndpointRejected, so that a refusal is sent in place of the response.
func (s *responseSink) onHead(h relayer.Head) error {
	if s.job.service.Kind == model.KindEngine && h.Status == http.StatusServiceUnavailable {
		s.worker.enterColdStart()

		return errEndpointRejected
	}
	if s.job.hasIdempotencyKey() {
		s.storedResponse = deduplicator.StoredResponse{Status: h.Status, ContentType: h.ContentType}

		return nil
	}

	return s.job.send(&messenger.RunEvent{
		Event: &messenger.RunEvent_Head{Head: s.worker.newHead(h.Status, h.ContentType, false)},
		Load:  s.worker.currentLoad(),
	})
}

func (s *responseSink) onPiece(data []byte) error {
	if !s.hasRecordedHolder {
		s.hasRecordedHolder = true
		s.worker.recordHolder(s.job)
	}
	if s.job.hasIdempotencyKey() {
		s.storedResponse.Body = append(s.storedResponse.Body, data...)

		return nil
	}
	s.pieceCount++
	_, _ = s.digest.Write(data)

	return s.job.send(&messenger.RunEvent{
		Event: &messenger.RunEvent_Piece{Piece: &messenger.Piece{Number: s.pieceCount, Data: data}},
	})
}

func (w *Worker) newHead(status int, contentType string, replayed bool) *messenger.Head {
	return &messenger.Head{
		Endpoint:    string(w.self),
		Incarnation: string(w.incarnation),
		Status:      int32(status),
		ContentType: contentType,
		Replayed:    replayed,
	}
}

// sendStoredResponse sends the stored response of a key. Send errors are ignored: a caller that has disconnected can request
// the response again with the same key.
func (w *Worker) sendStoredResponse(j *job, response deduplicator.StoredResponse, replayed bool) *model.Refusal {
	events := []*messenger.RunEvent{
		{Event: &messenger.RunEvent_Head{Head: w.newHead(response.Status, response.ContentType, replayed)}, Load: w.currentLoad()},
		{Event: &messenger.RunEvent_Piece{Piece: &messenger.Piece{Number: 1, Data: response.Body}}},
		{Event: &messenger.RunEvent_End{End: &messenger.End{Pieces: 1, Digest: xxhash.Sum64(response.Body)}}},
	}
	j.sendAll(events)

	return nil
}

// requestDigest returns the digest that tells whether two requests with the same key are equal.
func requestDigest(r *messenger.RunRequest) model.Digest {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)

	return model.Digest(d.Sum64())
}
