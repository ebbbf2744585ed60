package gateway

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/forwarder"
)

const (
	// cachedPartTimeout bounds a call about cached parts: the time that an endpoint has to list them, and the way.
	cachedPartTimeout = 300 * timekeeper.Millis(1)
	// maxAskedEndpoints is the maximum number of endpoints in one message.
	maxAskedEndpoints = 64
	// unknownTokens stands for an endpoint of which it is not known what it keeps.
	unknownTokens = -1
)

// listReader returns the gateway that ranks first for an endpoint by rendezvous hashing among this one and the reachable others. It is
// empty if that is this gateway.
func (p *peers) listReader(e model.EndpointProcess) string {
	score := func(address string) uint64 { return hasher.Mix(processKey(e) ^ xxhash.Sum64String(address)) }
	reader, best := "", score(p.gateway.settings.PeerListen)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, other := range p.byAddress {
		if s := score(address); !other.isUnreachable && s < best {
			reader, best = address, s
		}
	}

	return reader
}

// processKey returns the hash that stands for a run of an endpoint in messages about cached parts.
func processKey(e model.EndpointProcess) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", e.ID, e.StartedAt))
}

// askKept asks another gateway how much endpoints keep of a prompt part.
func (p *peers) askKept(ctx context.Context, address string, q forwarder.KeptQuestion) map[model.EndpointProcess]model.Tokens {
	ctx, cancel := context.WithTimeout(ctx, cachedPartTimeout.Duration())
	defer cancel()
	request := &messenger.FindCachedPartRequest{Part: q.Part, Model: string(q.Model), MaxAgeMs: int64(q.MaxAge)}
	for _, e := range q.Endpoints {
		request.Endpoints = append(request.Endpoints, processKey(e))
	}
	kept := map[model.EndpointProcess]model.Tokens{}
	response, err := p.clientFor(address).FindCachedPart(ctx, request)
	if err != nil {
		p.recordCachedPartError(address, err)

		return kept
	}
	for i, tokens := range response.Tokens[:min(len(response.Tokens), len(q.Endpoints))] {
		if tokens >= 0 {
			kept[q.Endpoints[i]] = model.Tokens(tokens)
		}
	}

	return kept
}

// recordCachedPartError logs that a gateway did not answer. One that took too long may have waited for an endpoint, and one whose call was
// cancelled says nothing: only others are taken to be unreachable.
func (p *peers) recordCachedPartError(address string, err error) {
	code := connect.CodeOf(err)
	if code == connect.CodeCanceled {
		return
	}
	p.gateway.log.Write(logger.EventCachedPartCallFailed, logger.String("gateway", address), logger.Err(err))
	if code != connect.CodeDeadlineExceeded {
		p.markUnreachable(address, err)
	}
}

// FindCachedPart implements the RPC FindCachedPart. It never returns an error.
func (p *peers) FindCachedPart(ctx context.Context, r *messenger.FindCachedPartRequest) (*messenger.FindCachedPartResponse, error) {
	response := &messenger.FindCachedPartResponse{}
	v := p.gateway.view.Load()
	if v == nil {
		return response, nil
	}
	byKey := map[uint64]model.EndpointProcess{}
	for e := range v.AllEndpoints() {
		byKey[processKey(e.Process())] = e.Process()
	}
	q := forwarder.KeptQuestion{Part: r.Part, Model: model.ModelID(r.Model), MaxAge: timekeeper.Millis(r.MaxAgeMs)}
	asked := r.Endpoints[:min(len(r.Endpoints), maxAskedEndpoints)]
	for _, key := range asked {
		if e, ok := byKey[key]; ok {
			q.Endpoints = append(q.Endpoints, e)
		}
	}
	kept := p.gateway.forwarder.Kept(ctx, v, q)
	for _, key := range asked {
		tokens, ok := kept[byKey[key]]
		if !ok {
			tokens = unknownTokens
		}
		response.Tokens = append(response.Tokens, int64(tokens))
	}

	return response, nil
}
