package forwarder

import (
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

// recordLimit records what an answer says of the request rate that its endpoint takes; the request was sent at sentAt. An
// unreadable limit says nothing, and the answer of another process at the address neither.
func (f *Forwarder) recordLimit(e *cataloguer.Endpoint, m platform.ResponseMetadata, sentAt timekeeper.Millis) {
	if m.IsLimitUnreadable || m.IsMisdirected {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	notice := budgeter.LimitNotice{
		Endpoint:     e.Process(),
		PerSecond:    m.Limit,
		IsAdvertised: m.HasLimit,
		At:           f.clock.Now(),
	}
	if f.balancer.Limits.RecordAnswer(notice, sentAt) {
		f.logLimit(notice, "answer")
	}
}

// MergeLimit takes in what another gateway has learned of the request rate that an endpoint takes.
func (f *Forwarder) MergeLimit(n budgeter.LimitNotice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balancer.Limits.Merge(n) {
		f.logLimit(n, "gateway")
	}
}

// logLimit logs that an endpoint's limit has begun, changed or ended, and from whom this gateway knows it.
func (f *Forwarder) logLimit(n budgeter.LimitNotice, source string) {
	fields := []logger.Field{logger.String("endpoint", n.Endpoint.ID), logger.String("source", source)}
	if !n.IsAdvertised {
		f.log.Write(logger.EventEndpointUnlimited, fields...)

		return
	}
	f.log.Write(logger.EventEndpointLimited, append(fields, limitField(n.PerSecond))...)
}

// maxLoggedLimit bounds the requests a second that are logged, so that they fit into a whole number.
const maxLoggedLimit = 1e9

// limitField returns the log field of a limit in requests a second.
func limitField(perSecond float64) logger.Field {
	return logger.Int("limit-per-minute", int64(60*min(perSecond, maxLoggedLimit)))
}
