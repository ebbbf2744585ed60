package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/forwarder"
)

const (
	// originHolders is the number of other gateways to which the origin of a stream is sent.
	originHolders = 2
	// askedGateways is the number of other gateways that are asked for the origin of a stream. It is larger, because two gateways
	// may take different ones to be reachable.
	askedGateways = 4
	// originTimeout bounds a call about origins. A caller waits for the answers.
	originTimeout = 250 * timekeeper.Millis(1)
	// maxSentOrigins is the maximum number of origins in one message, maxSeenVersions that of versions.
	maxSentOrigins  = 1000
	maxSeenVersions = 100
	// maxSoftwareBytes is the length beyond which a version that another gateway names is not believed.
	maxSoftwareBytes = 256
)

// originSender wakes the part of a gateway that sends the origins of streams to others.
type originSender struct {
	wakeups chan struct{}
}

func newOriginSender() originSender {
	return originSender{wakeups: make(chan struct{}, 1)}
}

// wake makes the gateway look for unsent origins soon.
func (s originSender) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// holders returns the gateways that rank first for a stream by rendezvous hashing among the reachable ones, count at most.
func (p *peers) holders(key resumer.StreamKey, count int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, other := range p.byAddress {
		if !other.isUnreachable {
			addresses = append(addresses, address)
		}
	}
	score := func(address string) uint64 { return hasher.Mix(uint64(key) ^ xxhash.Sum64String(address)) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(score(a), score(b)) })

	return addresses[:min(count, len(addresses))]
}

// runOriginSender sends other gateways the origins of streams that they need to know, until the context ends.
func (p *peers) runOriginSender(ctx context.Context) {
	var w conc.WaitGroup
	defer w.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.originSender.wakeups:
		}
		for address, origins := range p.groupByHolder(p.gateway.forwarder.TakeUnsentOrigins()) {
			for batch := range slices.Chunk(origins, maxSentOrigins) {
				w.Go(func() { p.sendOrigins(ctx, address, batch) })
			}
		}
	}
}

// groupByHolder returns the origins to send to each holder. Those without a reachable holder are sent later.
func (p *peers) groupByHolder(origins []resumer.Origin) map[string][]resumer.Origin {
	byHolder := map[string][]resumer.Origin{}
	var later []resumer.Origin
	for _, o := range origins {
		holders := p.holders(o.Key, originHolders)
		if len(holders) == 0 {
			later = append(later, o)
		}
		for _, address := range holders {
			byHolder[address] = append(byHolder[address], o)
		}
	}
	p.gateway.forwarder.ReturnUnsentOrigins(later)

	return byHolder
}

// sendOrigins sends origins to a gateway. If it does not answer, they are sent to others, or to the same one later.
func (p *peers) sendOrigins(ctx context.Context, address string, origins []resumer.Origin) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	now := p.gateway.clock.Now()
	request := &messenger.RecordOriginsRequest{}
	for _, o := range origins {
		request.Origins = append(request.Origins, &messenger.StreamOrigin{
			Key: uint64(o.Key), Software: string(o.Software), LifetimeMs: int64(o.Until - now),
		})
	}
	if _, err := p.clientFor(address).RecordOrigins(ctx, request); err != nil {
		p.gateway.log.Write(logger.EventOriginCallFailed, logger.String("gateway", address), logger.Err(err))
		p.gateway.forwarder.ReturnUnsentOrigins(origins)
		if p.markUnreachable(address, err) {
			p.originSender.wake()
		}
	}
}

// RecordOrigins implements the RPC RecordOrigins. It never returns an error.
func (p *peers) RecordOrigins(_ context.Context, r *messenger.RecordOriginsRequest) (*messenger.RecordOriginsResponse, error) {
	now := p.gateway.clock.Now()
	origins := make([]resumer.Origin, 0, len(r.Origins))
	for _, o := range r.Origins {
		lifetime := min(max(timekeeper.Millis(o.LifetimeMs), 0), timekeeper.Hour)
		software := model.SoftwareVersion(o.Software)
		if len(software) > maxSoftwareBytes {
			software = ""
		}
		origins = append(origins, resumer.Origin{Key: resumer.StreamKey(o.Key), Software: software, Until: now + lifetime})
	}
	p.gateway.forwarder.MergeOrigins(origins)

	return &messenger.RecordOriginsResponse{}, nil
}

// askOrigin asks other gateways what they know of a stream, and returns the number of those that did not answer.
func (p *peers) askOrigin(ctx context.Context, q forwarder.OriginQuestion) ([]resumer.Report, int) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	var reports []resumer.Report
	unanswered := p.unreachableCount()
	var w conc.WaitGroup
	for _, address := range p.holders(q.Key, askedGateways) {
		w.Go(func() {
			t, err := p.askGateway(ctx, address, q)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				reports = append(reports, t)
				if t.IsKnown {
					cancel()
				}
			case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
				unanswered++
				p.gateway.log.Write(logger.EventOriginCallFailed, logger.String("gateway", address), logger.Err(err))
				p.markUnreachable(address, err)
			}
		})
	}
	w.Wait()

	return reports, unanswered
}

func (p *peers) askGateway(ctx context.Context, address string, q forwarder.OriginQuestion) (resumer.Report, error) {
	r, err := p.clientFor(address).FindOrigin(ctx, &messenger.FindOriginRequest{
		Key: uint64(q.Key), Service: string(q.Service), WindowMs: int64(q.Window),
	})
	if err != nil {
		return resumer.Report{}, err
	}
	t := resumer.Report{
		IsKnown: r.Known, Software: model.SoftwareVersion(r.Software), IsComplete: r.Complete,
	}
	for _, software := range r.Seen[:min(len(r.Seen), maxSeenVersions)] {
		t.Seen = append(t.Seen, model.SoftwareVersion(software))
	}

	return t, nil
}

// FindOrigin implements the RPC FindOrigin. It never returns an error.
func (p *peers) FindOrigin(_ context.Context, r *messenger.FindOriginRequest) (*messenger.FindOriginResponse, error) {
	t := p.gateway.forwarder.ReportOrigin(forwarder.OriginQuestion{
		Key: resumer.StreamKey(r.Key), Service: model.ServiceID(r.Service), Window: timekeeper.Millis(r.WindowMs),
	})
	response := &messenger.FindOriginResponse{
		Known: t.IsKnown, Software: string(t.Software), Complete: t.IsComplete,
	}
	for _, software := range t.Seen[:min(len(t.Seen), maxSeenVersions)] {
		response.Seen = append(response.Seen, string(software))
	}

	return response, nil
}

// unreachableCount returns the number of known gateways that do not answer.
func (p *peers) unreachableCount() int {
	count := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byAddress {
		if other.isUnreachable {
			count++
		}
	}

	return count
}

// markUnreachable records that a gateway does not answer, and returns false if that is known; its next exchange of gossip decides anew.
// One of an earlier version, which does not know the call, is reachable.
func (p *peers) markUnreachable(address string, err error) bool {
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return false
	}
	p.mu.Lock()
	other, ok := p.byAddress[address]
	isNew := ok && !other.isUnreachable
	if isNew {
		other.isUnreachable = true
	}
	p.mu.Unlock()
	if isNew {
		p.gateway.log.Write(logger.EventGatewayUnreachable, logger.String("gateway", address), logger.Err(err))
	}

	return isNew
}
