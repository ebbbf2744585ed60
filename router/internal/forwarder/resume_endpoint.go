package forwarder

import (
	"sync"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
)

// askedEndpoints is the number of endpoints that are asked whether they have read the prompt of a stream that a caller resumes. The
// askedFirst most likely ones are asked first, because asking delays their work.
const (
	askedEndpoints = 64
	askedFirst     = 4
)

// ownPart returns the last part of the prompt, or false if the request has no prompt.
func (p *proxiedRequest) ownPart() (model.PromptPart, bool) {
	n := len(p.metadata.Prompt)
	if n == 0 || !p.view.Configuration.Services[p.service].IsEngine {
		return model.PromptPart{}, false
	}

	return p.metadata.Prompt[n-1], true
}

// recordPartOwner records to which request the last part of the prompt belongs.
func (p *proxiedRequest) recordPartOwner() {
	part, ok := p.ownPart()
	if !ok {
		return
	}
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	owners, ok := f.partOwners[p.service]
	if !ok {
		owners = &resumer.PartOwners{}
		f.partOwners[p.service] = owners
	}
	owners.Record(part.ID, uint64(p.suspects[0].ID))
}

// findAtEndpoints returns the software version of the endpoints that have generated tokens after the last part of the prompt. If none
// of the asked endpoints has, it returns that of the endpoints that have read the part. It returns false if there is none, if there are
// several versions, or if the part may belong to other requests too.
func (p *proxiedRequest) findAtEndpoints() (model.SoftwareVersion, bool) {
	part, ok := p.ownPart()
	if !ok || !p.forwarder.arePartsOwn(p.service) {
		return "", false
	}
	likely := p.forwarder.likelyEndpoints(p.view, p.balancerRequest())
	first := min(askedFirst, len(likely))
	found := p.askHolders(likely[:first], part)
	if len(found.generated) == 0 {
		others := p.askHolders(likely[first:], part)
		found.generated = others.generated
		found.read = append(found.read, others.read...)
	}
	if len(found.generated) == 0 {
		return resumer.SoleVersion(found.read)
	}

	return resumer.SoleVersion(found.generated)
}

// holderVersions holds the software versions of the endpoints that have generated tokens after a prompt part, and of those that have
// at least read it.
type holderVersions struct {
	generated, read []model.SoftwareVersion
}

// askHolders asks endpoints how much they keep of a part. Tokens that a request has generated count to the last part of its prompt.
func (p *proxiedRequest) askHolders(endpoints []*cataloguer.Endpoint, part model.PromptPart) holderVersions {
	var mu sync.Mutex
	var found holderVersions
	key := cachedPartKey{id: part.ID, model: p.metadata.Model}
	var w conc.WaitGroup
	for _, e := range endpoints {
		w.Go(func() {
			kept, err := p.forwarder.cacheLists.kept(p.ctx, e, key)
			if err != nil {
				p.forwarder.log.Write(logger.EventCacheListUnread, logger.String("endpoint", e.ID), logger.Err(err))
			}
			mu.Lock()
			defer mu.Unlock()
			if kept > part.Tokens {
				found.generated = append(found.generated, e.Software)
			}
			if kept > 0 {
				found.read = append(found.read, e.Software)
			}
		})
	}
	w.Wait()

	return found
}

// arePartsOwn reports whether the last prompt parts of a service's requests are seen to belong to one request each.
func (f *Forwarder) arePartsOwn(id model.ServiceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	owners, ok := f.partOwners[id]

	return ok && owners.AreOwn()
}

// likelyEndpoints returns the endpoints to which a request has been sent most likely.
func (f *Forwarder) likelyEndpoints(v *cataloguer.View, r balancer.Request) []*cataloguer.Endpoint {
	var likely []*cataloguer.Endpoint
	f.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		likely = b.LikelyEndpoints(v, r, askedEndpoints, f.clock.Now())
	})

	return likely
}
