package gateway

import (
	"context"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// trade tells another gateway what is news and takes what it tells.
func (p *peers) trade(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, tradeTimeout.Duration())
	defer cancel()
	request := p.request(address)
	if request.Operator.Wanted || request.Endpoints.Wanted {
		defer p.copying.Store(false)
	}
	placements, next := p.placementsFor(address)
	request.Placements = placements
	response, err := p.clientOf(address).Trade(ctx, request)
	p.note(address, err)
	if err != nil {
		return
	}
	p.told(address, next)
	p.learn(response.News)
	p.learnPlacements(response.Placements)
	p.takeCopy(p.g.operator, "operator", response.Operator)
	p.takeCopy(p.g.endpoints, "endpoints", response.Endpoints)
}

// note logs when a gateway is lost or regained.
func (p *peers) note(address string, err error) {
	p.mu.Lock()
	k, ok := p.known[address]
	if !ok {
		p.mu.Unlock()

		return
	}
	changed := k.lost != (err != nil)
	k.lost = err != nil
	k.busy = false
	p.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		p.g.log.Write(logger.EventGatewayUnreachable, logger.String("gateway", address), logger.Err(err))
	} else {
		p.g.log.Write(logger.EventGatewayReachable, logger.String("gateway", address))
	}
}

func (p *peers) request(receiver string) *messenger.TradeRequest {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	// One gateway is asked for copies at a time: a range may hold a megabyte.
	wanting := (p.wants(p.g.operator) || p.wants(p.g.endpoints)) && p.copying.CompareAndSwap(false, true)

	return &messenger.TradeRequest{
		News:      p.news(receiver),
		Operator:  p.stateOf(p.g.operator, wanting),
		Endpoints: p.stateOf(p.g.endpoints, wanting),
	}
}

// wants tells whether a range has to come from another gateway; the caller holds the gateway's lock.
func (p *peers) wants(r *replicator.Replica) bool {
	return p.g.lost || (!r.HasSynced() && p.g.clock.Now()-p.g.started >= storePatience)
}

// stateOf tells how far a range is followed; the caller holds the gateway's lock.
func (p *peers) stateOf(r *replicator.Replica, wanting bool) *messenger.RangeState {
	return &messenger.RangeState{
		AsOf:    r.SyncedRevision(),
		Content: r.ContentRevision(),
		Synced:  r.HasSynced(),
		Wanted:  wanting && p.wants(r),
	}
}

// news is what this gateway tells another one; the caller holds the gateway's lock.
func (p *peers) news(receiver string) *messenger.GatewayNews {
	news := &messenger.GatewayNews{
		Address:        p.g.settings.PeerListen,
		Domain:         uint32(balancer.CodeOf(p.g.settings.Domain)),
		StoreSilenceMs: -1,
	}
	if heard := p.g.endpoints.LastContact(); heard > 0 {
		news.StoreSilenceMs = int64(p.g.clock.Now() - heard)
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		now := p.g.clock.Now()
		news.Gateways = p.nextNames(receiver, b.Roster.Vouched(now))
		news.Knows = uint32(len(b.Roster.Known()))
		for _, r := range b.Reports(balancer.CodeOf(receiver), loadBytes, now) {
			news.Loads = appendReport(news.Loads, r, now)
		}
	})
	p.g.forward.Marks(func(r *quarantiner.Register) {
		for _, m := range r.Share(p.g.clock.Now()) {
			news.Marks = append(news.Marks, &messenger.CrashMark{
				Fingerprint: uint64(m.Fingerprint), Crashes: uint32(m.Crashes), ExpiresInMs: int64(m.ExpiresIn),
			})
		}
	})

	return news
}

// nextNames returns the part of the known gateways whose turn it is; one that knows fewer is told more of them.
func (p *peers) nextNames(receiver string, known []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := maxNames
	if k, ok := p.known[receiver]; ok && k.knows > 0 && k.knows < len(known) {
		most = newcomerNames
	}
	names := make([]string, 0, most)
	for range min(most, len(known)) {
		names = append(names, known[p.named%len(known)])
		p.named++
	}

	return names
}

// noteSender keeps what a gateway says of itself.
func (p *peers) noteSender(news *messenger.GatewayNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.known[news.Address]; ok {
		k.knows = int(news.Knows)
	}
	if balancer.Code(news.Domain) == balancer.CodeOf(p.g.settings.Domain) {
		p.turns.found(news.Address)
	}
}

// learn takes what another gateway says of itself.
func (p *peers) learn(news *messenger.GatewayNews) {
	if news == nil || news.Address == p.g.settings.PeerListen {
		return
	}
	p.meet(append(news.Gateways, news.Address))
	p.noteSender(news)
	if news.StoreSilenceMs >= 0 {
		p.g.mu.Lock()
		p.g.endpoints.RecordPeerContact(p.g.clock.Now() - timekeeper.Millis(news.StoreSilenceMs))
		p.g.mu.Unlock()
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		now := p.g.clock.Now()
		for _, r := range decodeReports(news.Loads, now) {
			b.Report(r, now)
		}
		b.Roster.Traded(news.Address, now)
	})
	p.g.forward.Marks(func(r *quarantiner.Register) {
		for _, m := range news.Marks {
			r.Learn(quarantiner.Mark{
				Fingerprint: model.Fingerprint(m.Fingerprint),
				Crashes:     int(m.Crashes),
				ExpiresIn:   timekeeper.Millis(m.ExpiresInMs),
			}, p.g.clock.Now())
		}
	})
}

// Trade answers another gateway.
func (p *peers) Trade(_ context.Context, r *messenger.TradeRequest) (*messenger.TradeResponse, error) {
	p.learn(r.News)
	p.learnPlacements(r.Placements)
	placements, next := p.placementsFor(r.News.GetAddress())
	p.told(r.News.GetAddress(), next)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()

	return &messenger.TradeResponse{
		News:       p.news(r.News.GetAddress()),
		Operator:   copyFor(r.Operator, p.g.operator),
		Endpoints:  copyFor(r.Endpoints, p.g.endpoints),
		Placements: placements,
	}, nil
}
