package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
)

const (
	// gossipBytesPerSecond is the required limit on the traffic with other gateways, both directions together. gossipBurstBytes is the
	// largest budget that an idle gateway accumulates.
	gossipBytesPerSecond = 10_000
	gossipBurstBytes     = gossipBytesPerSecond
	// maxGossipDebt bounds by how many bytes the budget can be overspent, so that gossip does not wait for long for what other calls
	// have used.
	maxGossipDebt = gossipBytesPerSecond / 2
	// fullMessageBytes is the budget from which messages carry more than loads.
	fullMessageBytes = gossipBurstBytes / 4
	// maxGossipPause is how long gossip waits for its budget at the most: loads that are not told in time overrun endpoints.
	maxGossipPause = 250 * timekeeper.Millis(1)
	// loggedPause is how long gossip yields to other calls before that is logged.
	loggedPause = timekeeper.Second
)

var exchangesHeldBack = metrics.NewCounter("gateway_gossip_held_back_total")

// messageSize says how much the next exchange of gossip may carry.
type messageSize int32

const (
	// messageNone means that no exchange may start.
	messageNone messageSize = iota
	// messageShort stands for loads and what else is urgent.
	messageShort
	// messageFull stands for everything.
	messageFull
)

// gossipBudget divides the traffic between gateways: gossip of loads has a part of its own, whatever other calls use; what else gossip
// carries gets what they leave. It is not safe for concurrent use.
type gossipBudget struct {
	clock timekeeper.Clock
	log   logger.Logger
	bytes *exchanger.ByteBudget
	// charged is the part of all traffic that the budget has been charged for.
	charged int64
	// allowedAt is when the last exchange was allowed.
	allowedAt timekeeper.Millis
	// pausedSince is since when exchanges have waited for the budget, zero if they do not. isPauseLogged is true once that is logged.
	pausedSince   timekeeper.Millis
	isPauseLogged bool
}

func newGossipBudget(clock timekeeper.Clock, log logger.Logger) *gossipBudget {
	bytes := exchanger.NewByteBudget(gossipBytesPerSecond, gossipBurstBytes, clock.Now())
	bytes.MaxDebt = maxGossipDebt

	return &gossipBudget{clock: clock, log: log, bytes: bytes}
}

// next charges the budget for the traffic since the last call, of which total is the sum so far, and returns how much an exchange may
// carry that starts now.
func (b *gossipBudget) next(total int64) messageSize {
	now := b.clock.Now()
	b.bytes.Spend(int(total-b.charged), now)
	b.charged = total
	left := b.bytes.Left(now)
	b.recordPause(left > 0, now)
	if left <= 0 && now-b.allowedAt < maxGossipPause {
		exchangesHeldBack.Inc()

		return messageNone
	}
	b.allowedAt = now
	if left < fullMessageBytes {
		return messageShort
	}

	return messageFull
}

// recordPause logs when exchanges have waited for the budget for loggedPause, and when they no longer do.
func (b *gossipBudget) recordPause(hasBudget bool, now timekeeper.Millis) {
	if hasBudget {
		if b.isPauseLogged {
			b.log.Write(logger.EventGossipContinued, logger.Int("after-ms", now-b.pausedSince))
		}
		b.pausedSince, b.isPauseLogged = 0, false

		return
	}
	if b.pausedSince == 0 {
		b.pausedSince = now
	}
	if !b.isPauseLogged && now-b.pausedSince >= loggedPause {
		b.isPauseLogged = true
		b.log.Write(logger.EventGossipPaused, logger.Int("control-bytes", b.charged))
	}
}
