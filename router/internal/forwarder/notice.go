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

// errWithdrawn means that an endpoint has asked for no more requests since it was chosen.
var errWithdrawn = errors.New("forwarder: the endpoint has asked for no more requests")

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
	if m.Rest > 0 && f.balancer.Notices.RecordRest(e.Process(), m.Rest, now) {
		f.log.Write(logger.EventEndpointRests, logger.String("endpoint", e.ID), logger.Int("rest-ms", m.Rest))
	}
}

// isWithdrawn reports whether an endpoint has asked this gateway for no more requests.
func (f *Forwarder) isWithdrawn(e *cataloguer.Endpoint) bool {
	isWithdrawn := false
	f.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		isWithdrawn = b.HasLeft(e, f.clock.Now()) || b.Notices.RestLeft(e.Process(), f.clock.Now()) > 0
	})

	return isWithdrawn
}

// withdraw returns a connection that has carried nothing, and the failure of an attempt whose endpoint has asked for no more
// requests while the request waited.
func (p *proxiedRequest) withdraw(conn *connector.Conn) *dispatcher.Failure {
	p.forwarder.pool.Put(conn)

	return p.newFailure(errWithdrawn, retrier.AttemptFailure{})
}
