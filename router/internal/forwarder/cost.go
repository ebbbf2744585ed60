package forwarder

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/estimator"
	"cardamompulley/fleet/model"
)

// recordWorkStart records that the chosen endpoint is sent the prompt.
func (p *proxiedRequest) recordWorkStart() {
	p.sentAt = p.forwarder.clock.Now()
	if !p.choice.Forecast.IsKnown {
		return
	}
	p.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		b.Costs.RecordStart(p.choice.Endpoint.Process(), p.choice.Forecast, p.sentAt)
	})
}

// recordWorkEnd takes the work of an attempt back whose endpoint has not begun to answer.
func (p *proxiedRequest) recordWorkEnd(isServed bool) {
	if !p.choice.Forecast.IsKnown || isServed || p.stream.hasEvents {
		return
	}
	p.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		b.Costs.RecordNotBegun(p.choice.Endpoint.Process(), p.choice.Forecast)
	})
}

// recordFirstEvent lets the balancer learn from the first event of an attempt. What an endpoint does for a stream that it resumes is not
// known.
func (p *proxiedRequest) recordFirstEvent() {
	if p.stream.hasEvents || p.stream.hasStarted || p.metadata.SessionID() == 0 {
		return
	}
	now := p.forwarder.clock.Now()
	answer := estimator.Answer{
		Service: p.service, Endpoint: p.choice.Endpoint.Process(), Work: p.choice.Work, Expected: p.choice.Forecast,
		Took: now - p.sentAt, Slowdown: p.endpointLoad.Slowdown,
	}
	forecastError, isKnown := 0.0, false
	p.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		b.Costs.RecordFirst(answer, now)
		forecastError, isKnown = b.Costs.Error(p.service)
	})
	if isKnown {
		forecastErrorGauge(p.service).Set(forecastError)
	}
}

// forecastErrorGauge returns the metric of the mean relative error of forecasts for a service.
func forecastErrorGauge(id model.ServiceID) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("gateway_forecast_error_ratio{service=%q}", id), nil)
}
