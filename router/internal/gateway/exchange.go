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

// exchange performs one gossip exchange: it sends this gateway's state to a peer and applies the response.
func (p *peers) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout.Duration())
	defer cancel()
	request := p.newRequest(address)
	if request.Operator.Wanted || request.Endpoints.Wanted {
		defer p.isCopying.Store(false)
		defer p.gateway.recordCopyAsked()
	}
	placements, next := p.placementsFor(address)
	request.Placements = placements
	response, err := p.clientFor(address).Trade(ctx, request)
	p.recordExchange(address, err)
	if err != nil {
		return
	}
	p.markPlacementsSent(address, next)
	p.applyNews(response.News)
	p.applyPlacements(response.Placements)
	silence := storeSilence(response.News)
	p.applyRangeCopy(p.gateway.operatorReplica, "operator", response.Operator, silence)
	p.applyRangeCopy(p.gateway.endpointReplica, "endpoints", response.Endpoints, silence)
	p.applyEarlierItems(p.gateway.operatorReplica, "operator", response.EarlierOperator)
	p.applyEarlierItems(p.gateway.endpointReplica, "endpoints", response.EarlierEndpoints)
}

// storeSilence returns how long ago the store answered a peer; if it never did, longer than any period.
func storeSilence(news *messenger.GatewayNews) timekeeper.Millis {
	if news == nil || news.StoreSilenceMs < 0 {
		return timekeeper.Hour
	}

	return timekeeper.Millis(news.StoreSilenceMs)
}

// recordExchange records the end of an exchange and logs when a gateway stops answering or answers again.
func (p *peers) recordExchange(address string, err error) {
	p.gateway.forwarder.RecordExchange(err == nil)
	p.mu.Lock()
	other, ok := p.byAddress[address]
	if !ok {
		p.mu.Unlock()

		return
	}
	changed := other.isUnreachable != (err != nil)
	other.isUnreachable = err != nil
	other.isBusy = false
	p.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		p.gateway.log.Write(logger.EventGatewayUnreachable, logger.String("gateway", address), logger.Err(err))
	} else {
		p.gateway.log.Write(logger.EventGatewayReachable, logger.String("gateway", address))
	}
}

// newRequest returns a request without placements.
func (p *peers) newRequest(receiver string) *messenger.TradeRequest {
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()
	// Only one gateway at a time is asked for copies, because a range may hold a megabyte.
	mayCopy := (p.needsCopy(p.gateway.operatorReplica) || p.needsCopy(p.gateway.endpointReplica)) && p.isCopying.CompareAndSwap(false, true)

	return &messenger.TradeRequest{
		News:      p.newsFor(receiver),
		Operator:  p.rangeState(p.gateway.operatorReplica, mayCopy),
		Endpoints: p.rangeState(p.gateway.endpointReplica, mayCopy),
	}
}

// needsCopy reports whether a range must be copied from another gateway because the store does not answer. The gateway's
// lock must be held.
func (p *peers) needsCopy(r *replicator.Replica) bool {
	return p.gateway.isStoreUnreachable || (!r.HasSynced() && p.gateway.clock.Now()-p.gateway.startedAt >= storeStartupWait)
}

// rangeState returns how far a replica has followed its range and, if mayCopy is true, asks for a copy that is needed. The
// gateway's lock must be held.
func (p *peers) rangeState(r *replicator.Replica, mayCopy bool) *messenger.RangeState {
	return &messenger.RangeState{
		AsOf:    r.Synced().Revision,
		Era:     uint64(r.Synced().Era),
		Content: r.ContentRevision(),
		Synced:  r.HasSynced(),
		Recent:  r.IsRecent() && p.gateway.clock.Now()-p.gateway.startedAt < operatorRewriteTime,
		Wanted:  mayCopy && p.needsCopy(r),
	}
}

// newsFor returns what this gateway reports to the receiver. The gateway's lock must be held.
func (p *peers) newsFor(receiver string) *messenger.GatewayNews {
	news := &messenger.GatewayNews{
		Address:        p.gateway.settings.PeerListen,
		Domain:         uint32(balancer.HashName(p.gateway.settings.Domain)),
		StoreSilenceMs: -1,
	}
	if p.gateway.storeKnown.at > 0 {
		news.StoreSilenceMs = int64(p.gateway.silenceSince(p.gateway.storeKnown))
	}
	p.addRestore(news)
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		now := p.gateway.clock.Now()
		news.Gateways = p.nextAddresses(receiver, b.Membership.Confirmed(now))
		news.Knows = uint32(len(b.Membership.Members()))
		for _, r := range b.ReportsFor(balancer.HashName(receiver), maxReportBytes, now) {
			news.Loads = appendReport(news.Loads, r, now)
		}
		news.Limits = encodeLimits(b.Limits.Share(maxLimits, now), now)
	})
	suspicions := p.gateway.forwarder.SharedSuspects(p.suspectBytes())
	news.Suspects = quarantiner.EncodeSuspicions(suspicions)
	news.SuspectAges = quarantiner.EncodeCrashAges(suspicions)

	return news
}

// addRestore adds the last change of the store's era while it may matter to others. The gateway's lock must be held.
func (p *peers) addRestore(news *messenger.GatewayNews) {
	r := p.gateway.endpointReplica
	age := p.gateway.clock.Now() - r.EraSince()
	if r.EraSince() == 0 || age >= restoreNewsLifetime {
		return
	}
	news.RestoredEra = uint64(r.Synced().Era)
	news.RestoredAgeMs = int64(age)
}

// applyRestore applies a peer's news that the store was restored.
func (p *peers) applyRestore(news *messenger.GatewayNews) {
	if news.RestoredEra == 0 {
		return
	}
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()
	since := p.gateway.clock.Now() - timekeeper.Millis(news.RestoredAgeMs)
	p.gateway.operatorReplica.RecordPeerEra(replicator.Era(news.RestoredEra), since)
	p.gateway.endpointReplica.RecordPeerEra(replicator.Era(news.RestoredEra), since)
}

// applyLimits applies a peer's notices of the request rates that endpoints advertise.
func (p *peers) applyLimits(encoded []byte) {
	v := p.gateway.view.Load()
	if len(encoded) == 0 || v == nil {
		return
	}
	known := map[balancer.NameHash]model.EndpointProcess{}
	for e := range v.AllEndpoints() {
		known[processHash(e.Process())] = e.Process()
	}
	for _, n := range decodeLimits(encoded, known, p.gateway.clock.Now()) {
		p.gateway.forwarder.MergeLimit(n)
	}
}

// nextAddresses returns the addresses from known that are next in turn, more of them if the receiver knows fewer gateways
// than this one.
func (p *peers) nextAddresses(receiver string, known []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := maxAddresses
	if other, ok := p.byAddress[receiver]; ok && other.knownGateways > 0 && other.knownGateways < len(known) {
		limit = maxNewcomerAddresses
	}
	addresses := make([]string, 0, limit)
	for range min(limit, len(known)) {
		addresses = append(addresses, known[p.addressCursor%len(known)])
		p.addressCursor++
	}

	return addresses
}

// recordSender records the sender's number of known gateways and whether it is in this gateway's failure domain.
func (p *peers) recordSender(news *messenger.GatewayNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.byAddress[news.Address]; ok {
		other.knownGateways = int(news.Knows)
	}
	if balancer.NameHash(news.Domain) == balancer.HashName(p.gateway.settings.Domain) {
		p.selector.markSameDomain(news.Address)
	}
}

// applyNews applies what another gateway reports; news that carries this gateway's own address is ignored.
func (p *peers) applyNews(news *messenger.GatewayNews) {
	if news == nil || news.Address == p.gateway.settings.PeerListen {
		return
	}
	p.addPeers(append(news.Gateways, news.Address))
	p.recordSender(news)
	p.applyRestore(news)
	if news.StoreSilenceMs >= 0 {
		p.gateway.mu.Lock()
		p.gateway.endpointReplica.RecordPeerContact(p.gateway.clock.Now() - timekeeper.Millis(news.StoreSilenceMs))
		p.gateway.mu.Unlock()
	}
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		now := p.gateway.clock.Now()
		for _, r := range decodeReports(news.Loads, now) {
			b.MergeReport(r, now)
		}
		b.Membership.RecordExchange(news.Address, now)
	})
	p.applyLimits(news.Limits)
	suspicions := quarantiner.DecodeSuspicions(news.Suspects)
	quarantiner.DecodeCrashAges(suspicions, news.SuspectAges)
	p.gateway.forwarder.MergeSuspects(news.Address, suspicions)
}

// Trade implements the RPC Trade, the server side of a gossip exchange. It never returns an error.
func (p *peers) Trade(_ context.Context, r *messenger.TradeRequest) (*messenger.TradeResponse, error) {
	p.gateway.forwarder.RecordExchange(true)
	p.applyNews(r.News)
	p.applyPlacements(r.Placements)
	placements, next := p.placementsFor(r.News.GetAddress())
	p.markPlacementsSent(r.News.GetAddress(), next)
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()

	return &messenger.TradeResponse{
		News:       p.newsFor(r.News.GetAddress()),
		Operator:   newRangeCopy(r.Operator, p.gateway.operatorReplica),
		Endpoints:  newRangeCopy(r.Endpoints, p.gateway.endpointReplica),
		Placements: placements,

		EarlierOperator:  p.gateway.newEarlierItems(r.Operator, p.gateway.operatorReplica),
		EarlierEndpoints: p.gateway.newEarlierItems(r.Endpoints, p.gateway.endpointReplica),
	}, nil
}
