package forwarder

import (
	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
)

var (
	resumesServed  = metrics.NewCounter("gateway_resumed_by_callers_total")
	resumesRefused = metrics.NewCounter("gateway_resumes_refused_total")
)

// recordOrigin records which software version began the stream, so that its caller can resume it at any gateway.
func (p *proxiedRequest) recordOrigin() {
	if !p.route.IsResumable {
		return
	}
	p.forwarder.recordStart(resumer.StreamStart{
		Origin: resumer.Origin{
			Key:      resumer.NewStreamKey(p.metadata.AttemptID, p.account.ID, p.service),
			Software: p.stream.software,
			Until:    p.forwarder.clock.Now() + p.callerTimeLeft(),
		},
		Service:  p.service,
		Endpoint: p.choice.Endpoint.ID,
	})
}

// callerTimeLeft returns the rest of the time for which the caller waits, which the route's timeout does not shorten.
func (p *proxiedRequest) callerTimeLeft() timekeeper.Millis {
	if p.metadata.Timeout <= 0 {
		return max(p.timeLeft(), 0)
	}

	return max(p.arrivedAt+p.metadata.Timeout-p.forwarder.clock.Now(), 0)
}

// afterDeadline returns a Retry-After that says that waiting does not help.
func (p *proxiedRequest) afterDeadline() timekeeper.Millis {
	return p.callerTimeLeft() + timekeeper.Second
}

// findOrigin finds the software version at which the stream that the caller resumes has to go on. It refuses the request if that
// cannot be known.
func (p *proxiedRequest) findOrigin() *model.Refusal {
	q := OriginQuestion{Service: p.service, Window: p.forwarder.routeWindow(p.service, p.route)}
	reports := []resumer.Report{}
	unanswered := 0
	if p.metadata.Resumes != "" {
		q.Key = resumer.NewStreamKey(p.metadata.Resumes, p.account.ID, p.service)
	}
	own := p.forwarder.ReportOrigin(q)
	if !own.IsKnown {
		reports, unanswered = p.forwarder.AskOrigin(p.ctx, q)
	}
	reports = append(reports, own)
	software, ok := resumer.Resolve(reports, unanswered)
	if !ok && unanswered > 0 {
		reports = append(reports, p.freshReport(q))
		software, ok = resumer.Resolve(reports, unanswered)
	}
	isAtEndpoints := false
	if !ok && !own.IsKnown {
		software, isAtEndpoints = p.findAtEndpoints()
		ok = isAtEndpoints
	}
	p.stream.software = software
	p.logResume(reports, unanswered, isAtEndpoints)
	if ok {
		resumesServed.Inc()

		return nil
	}
	resumesRefused.Inc()

	return model.NewRefusal(model.CodeStreamOriginUnknown, "which software version began the stream is not known").
		WithRetryAfter(p.afterDeadline())
}

// freshReport returns what this gateway knows after another look at the store, which shows all versions that any gateway knows.
func (p *proxiedRequest) freshReport(q OriginQuestion) resumer.Report {
	isFresh := p.forwarder.RefreshEndpoints(p.ctx)
	t := p.forwarder.ReportOrigin(q)
	t.IsFresh = isFresh

	return t
}

// logResume logs what is known of a stream that a caller resumes.
func (p *proxiedRequest) logResume(reports []resumer.Report, unanswered int, isAtEndpoints bool) {
	known, complete := 0, 0
	for _, t := range reports {
		if t.IsKnown {
			known++
		}
		if t.IsComplete {
			complete++
		}
	}
	p.forwarder.log.Write(logger.EventStreamOriginFound, append(p.logFields(),
		logger.String("origin", p.stream.software), logger.Int("known", known), logger.Int("complete", complete),
		logger.Int("asked", len(reports)-1+unanswered), logger.Int("unanswered", unanswered),
		logger.Bool("at-endpoints", isAtEndpoints))...)
}
