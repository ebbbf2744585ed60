package worker

import (
	"context"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/sidecar/internal/relayer"
)

var errTurnedAway = errors.New("worker: endpoint turned the request away")

// execute sends a request to the endpoint and relays its answer.
func (w *Worker) execute(ctx context.Context, j *job) *model.Refusal {
	ctx, cancel := context.WithTimeout(ctx, (j.deadline - w.clock.Now()).Duration())
	defer cancel()
	o := &output{worker: w, job: j, digest: xxhash.New()}
	j.touched = true
	summary, err := w.relayer.Relay(ctx, w.toEndpoint(ctx, j), relayer.Sink{Head: o.head, Piece: o.piece})
	j.sample = sampleOf(j.request, summary)
	if err != nil {
		return w.explain(ctx, j, err)
	}
	if j.keyed() {
		j.answer = &o.answer

		return nil
	}
	_ = j.emit(&messenger.RunEvent{
		Event: &messenger.RunEvent_End{End: &messenger.End{
			Pieces: o.pieces, Digest: o.digest.Sum64(), CachedTokens: int64(summary.CachedTokens),
		}},
		Load: w.load(),
	})

	return nil
}

func (w *Worker) toEndpoint(ctx context.Context, j *job) *relayer.Request {
	r := j.request
	header := http.Header{}
	w.tracer.Inject(ctx, header)

	return &relayer.Request{
		Attempt:     r.AttemptId,
		Method:      r.Method,
		Path:        r.Path,
		ContentType: r.ContentType,
		Body:        r.Body,
		Key:         model.IdempotencyKey(r.IdempotencyKey),
		Account:     model.AccountID(r.Account),
		Stream:      r.Stream,
		Priority:    int(r.Priority),
		Header:      header,
	}
}

func sampleOf(r *messenger.RunRequest, s relayer.Summary) admitter.Sample {
	sample := admitter.Sample{
		UncachedTokens: max(0, model.Tokens(r.PromptTokens)-s.CachedTokens),
		FirstToken:     s.FirstPiece,
	}
	if s.Pieces > 1 {
		sample.TokenGap = (s.LastPiece - s.FirstPiece) / timekeeper.Millis(s.Pieces-1)
	}

	return sample
}

// explain turns an error of the relay into the true answer for the caller.
func (w *Worker) explain(ctx context.Context, j *job, err error) *model.Refusal {
	j.sample.HasFailed = true
	unknown := model.NewRefusal(model.CodeEndpointFailed, err.Error()).
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
	switch {
	case errors.Is(err, errCallerGone):
		j.sample = admitter.Sample{}
		unknown.Code = model.CodeIncompleteResponse

		return unknown
	case errors.Is(err, errTurnedAway):
		unknown.Code = model.CodeOverloaded

		return unknown
	case errors.Is(err, relayer.ErrCrossed):
		crossedTotal.Inc()
		w.log.Write(logger.EventResponseMismatch, logger.String("attempt", j.request.AttemptId))

		return unknown
	case errors.Is(err, relayer.ErrNotTouched):
		j.touched = false
		w.prober.Probe(context.WithoutCancel(ctx), true)

		return model.NewRefusal(model.CodeEndpointUnreachable, "the endpoint does not answer").
			WithRetryAfter(timekeeper.Second)
	case ctx.Err() != nil && !errors.Is(err, relayer.ErrStalled):
		j.sample = admitter.Sample{}
		unknown.Code = model.CodeDeadlineTooShort

		return unknown
	}
	if errors.Is(err, relayer.ErrIncomplete) {
		unknown.Code = model.CodeIncompleteResponse
		w.log.Write(logger.EventIncompleteResponse, logger.String("attempt", j.request.AttemptId))
	}
	w.prober.Probe(context.WithoutCancel(ctx), true)
	w.warn(ctx, j)

	return unknown
}

// output passes an answer on, or gathers it when its key must be answered again later.
type output struct {
	worker *Worker
	job    *job
	digest *xxhash.Digest
	pieces uint64
	noted  bool
	answer deduplicator.Answer
}

func (o *output) head(h relayer.Head) error {
	if o.job.service.Kind == model.KindEngine && h.Status == http.StatusServiceUnavailable {
		o.worker.turnCold()

		return errTurnedAway
	}
	if o.job.keyed() {
		o.answer = deduplicator.Answer{Status: h.Status, ContentType: h.ContentType}

		return nil
	}

	return o.job.emit(&messenger.RunEvent{
		Event: &messenger.RunEvent_Head{Head: o.worker.head(h.Status, h.ContentType, false)},
		Load:  o.worker.load(),
	})
}

func (o *output) piece(data []byte) error {
	if !o.noted {
		o.noted = true
		o.worker.noteServed(o.job)
	}
	if o.job.keyed() {
		o.answer.Body = append(o.answer.Body, data...)

		return nil
	}
	o.pieces++
	_, _ = o.digest.Write(data)

	return o.job.emit(&messenger.RunEvent{
		Event: &messenger.RunEvent_Piece{Piece: &messenger.Piece{Number: o.pieces, Data: data}},
	})
}

func (w *Worker) head(status int, contentType string, replayed bool) *messenger.Head {
	return &messenger.Head{
		Endpoint:    string(w.self),
		Incarnation: string(w.boot),
		Status:      int32(status),
		ContentType: contentType,
		Replayed:    replayed,
	}
}

// sendAnswer sends a whole stored answer; a caller that has left finds it again under its key.
func (w *Worker) sendAnswer(j *job, a deduplicator.Answer, replayed bool) *model.Refusal {
	events := []*messenger.RunEvent{
		{Event: &messenger.RunEvent_Head{Head: w.head(a.Status, a.ContentType, replayed)}, Load: w.load()},
		{Event: &messenger.RunEvent_Piece{Piece: &messenger.Piece{Number: 1, Data: a.Body}}},
		{Event: &messenger.RunEvent_End{End: &messenger.End{Pieces: 1, Digest: xxhash.Sum64(a.Body)}}},
	}
	j.emitAll(events)

	return nil
}

func bodyDigest(r *messenger.RunRequest) model.Digest {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)

	return model.Digest(d.Sum64())
}
