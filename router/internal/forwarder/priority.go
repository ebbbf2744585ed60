package forwarder

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/platform"
)

var (
	requestsDemoted  = metrics.NewCounter("gateway_requests_demoted_total")
	requestsPromoted = metrics.NewCounter("gateway_requests_promoted_total")
)

// priorityState is what has been decided of a request's priority, and what has been observed of it.
type priorityState struct {
	// isDecided is true once the request has a priority at engines. It keeps it when it is sent again.
	isDecided bool
	request   prioritizer.Request
	decision  prioritizer.Decision
	// isAnswered is true once an engine has begun to answer.
	isAnswered bool
}

// newPrioritizer returns a prioritizer that logs shortages.
func newPrioritizer(log logger.Logger) *prioritizer.Prioritizer {
	p := prioritizer.NewPrioritizer()
	p.OnShortage = func(id model.ServiceID, isShort bool) {
		event, value := logger.EventServiceShortEnded, 0.0
		if isShort {
			event, value = logger.EventServiceShort, 1
		}
		log.Write(event, logger.String("service", id))
		metrics.GetOrCreateGauge(fmt.Sprintf("gateway_service_short{service=%q}", id), nil).Set(value)
	}

	return p
}

// ExpirePriorities ends shortages of which nothing is seen any more.
func (f *Forwarder) ExpirePriorities() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prioritizer.Expire(f.clock.Now())
}

// scale returns the priorities of the request's service.
func (p *proxiedRequest) scale() prioritizer.Scale {
	return prioritizer.NewScale(p.view.Configuration, p.service)
}

// trySpendRetry takes a retry from the budget of the request's service.
func (p *proxiedRequest) trySpendRetry() bool {
	d := budgeter.Draw{}
	if p.forwarder.Prioritizes {
		d.Priority, d.MostUrgent = prioritizer.Of(p.route, p.account), p.scale().MostUrgent()
	}

	p.retryTakenAt = p.forwarder.trySpendRetry(p.service, d)

	return p.retryTakenAt > 0
}

// giveBackRetry returns a retry to the budget that was taken for an attempt that is not made.
func (p *proxiedRequest) giveBackRetry() {
	if p.retryTakenAt == 0 {
		return
	}
	p.forwarder.giveBackRetry(p.service, p.retryTakenAt)
	p.retryTakenAt = 0
}

// enginePriority returns the priority to send to the endpoint, negative for none.
func (p *proxiedRequest) enginePriority() int {
	if !p.forwarder.Prioritizes || !p.view.Configuration.Services[p.service].IsEngine {
		return int(prioritizer.NoLevel)
	}
	s := &p.priority
	if !s.isDecided {
		p.decidePriority()
	}

	return int(s.decision.Level)
}

// decidePriority decides the request's priority at engines and counts its tokens for its account.
func (p *proxiedRequest) decidePriority() {
	s := &p.priority
	s.isDecided = true
	s.request = prioritizer.Request{
		Service:        p.service,
		Account:        p.account.ID,
		Priority:       prioritizer.Of(p.route, p.account),
		Target:         p.route.TargetLatency,
		Tokens:         prioritizer.Cost(p.uncachedTokens(), p.outputTokens()),
		IsContinuation: p.route.Kind == cataloguer.KindStream && p.metadata.LastEventID != "",
	}
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	s.decision = f.prioritizer.Decide(p.scale(), s.request, f.clock.Now())
	if s.decision.IsDemoted {
		requestsDemoted.Inc()
	}
	if s.decision.IsPromoted {
		requestsPromoted.Inc()
	}
}

// uncachedTokens returns the tokens of the prompt that the chosen endpoint probably has to read.
func (p *proxiedRequest) uncachedTokens() model.Tokens {
	tokens := p.metadata.PromptTokens
	if p.choice.NeedsPrefill && p.choice.CacheSource == nil {
		return tokens
	}
	for _, part := range p.metadata.PartsBeforeLast() {
		tokens -= part.Tokens
	}

	return tokens
}

// outputTokens returns the number of tokens that the response will probably have.
func (p *proxiedRequest) outputTokens() model.Tokens {
	m := &p.metadata
	if m.EstimatedOutputTokens == 0 {
		return m.MaxOutputTokens
	}
	if m.MaxOutputTokens == 0 {
		return m.EstimatedOutputTokens
	}

	return min(m.EstimatedOutputTokens, m.MaxOutputTokens)
}

// hasEngineLevel reports whether the request has been sent with a priority.
func (p *proxiedRequest) hasEngineLevel() bool {
	return p.priority.isDecided && p.priority.decision.Level != prioritizer.NoLevel
}

// recordEngineAnswer records that an engine has begun to answer.
func (p *proxiedRequest) recordEngineAnswer() {
	s := &p.priority
	if !p.hasEngineLevel() || s.isAnswered {
		return
	}
	s.isAnswered = true
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prioritizer.RecordAnswer(s.request, s.decision, f.clock.Now())
}

// recordEnd records that an attempt has ended.
func (p *proxiedRequest) recordEnd() {
	if !p.hasEngineLevel() {
		return
	}
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prioritizer.RecordEnd(p.priority.decision)
}

// recordRejection records that an engine has turned the request away because it is full.
func (p *proxiedRequest) recordRejection(status int, m platform.ResponseMetadata) {
	isFull := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if !isFull || m.IsLeaving || m.HasLimit || !p.hasEngineLevel() {
		return
	}
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prioritizer.RecordRejection(p.priority.request, f.clock.Now())
}

// priorityFields returns the log fields that describe the request's priority at engines, none if it has none.
func (p *proxiedRequest) priorityFields() []logger.Field {
	if !p.hasEngineLevel() {
		return nil
	}
	s := &p.priority

	return []logger.Field{
		logger.Int("priority", int64(s.request.Priority)),
		logger.Int("engine-priority", int64(s.decision.Level)),
		logger.Int("account-share-percent", s.decision.SharePercent),
	}
}
