package forwarder

import (
	"errors"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/retrier"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

// errWantsNoRequests means that an endpoint has been taken out of service, or has asked for no more requests, since it was chosen.
var errWantsNoRequests = errors.New("forwarder: the endpoint takes no more requests")

// recordNotices records what an answer asks this gateway for. The answer of another process at the address says nothing of the
// endpoint.
func (f *Forwarder) recordNotices(e *cataloguer.Endpoint, m platform.ResponseMetadata) {
	if m.IsMisdirected {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if m.IsLeaving && f.balancer.Notices.RecordLeaving(e.Process(), now) {
		f.log.Write(logger.EventEndpointSaysLeaving, logger.String("endpoint", e.ID))
	}
	if m.Backoff > 0 && f.balancer.Notices.RecordBackoff(e.Process(), m.Backoff, now) {
		f.log.Write(logger.EventEndpointBackoff, logger.String("endpoint", e.ID), logger.Int("backoff-ms", m.Backoff))
	}
}

// wantsNoRequests reports whether an endpoint must get no more requests: it is gone, draining or out of service, or has asked this
// gateway for none.
func (f *Forwarder) wantsNoRequests(e *cataloguer.Endpoint) bool {
	v := f.CurrentView()
	if known := v.Endpoint(e.ID); known == nil || known.Address != e.Address || !v.CanTakeWork(known) {
		return true
	}
	wantsNoRequests := false
	f.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		wantsNoRequests = b.HasLeft(e, f.clock.Now()) || b.Notices.BackoffLeft(e.Process(), f.clock.Now()) > 0
	})

	return wantsNoRequests
}

// skipEndpoint puts back a connection that has carried nothing, and returns the failure of an attempt whose endpoint has come to take no
// more requests while the request waited.
func (p *proxiedRequest) skipEndpoint(conn *connector.Conn) *dispatcher.Failure {
	p.forwarder.pool.Put(conn)

	return p.newFailure(errWantsNoRequests, retrier.AttemptFailure{})
}
