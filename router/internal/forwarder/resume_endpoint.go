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
	"cardamompulley/platform"
)

// askedEndpoints is the number of endpoints that are asked whether they have read the prompt of a stream that a caller resumes. The
// askedFirst most likely ones are asked first, because asking delays their work.
const (
	askedEndpoints = 16
	askedFirst     = 4
)

// ownPart returns the last part of the prompt, or false if the request has no prompt.
func (p *proxiedRequest) ownPart() (platform.CachedPart, bool) {
	n := len(p.metadata.Prompt)
	if n == 0 || !p.view.Configuration.Services[p.service].IsEngine {
		return platform.CachedPart{}, false
	}

	return platform.CachedPart{ID: p.metadata.Prompt[n-1].ID, Model: p.metadata.Model}, true
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

// findAtEndpoints returns the software version of the endpoints that have read the last part of the prompt, which belongs to the
// request alone. It returns false if the part may belong to others, if none of the asked endpoints has read it, or if endpoints of
// several versions have.
func (p *proxiedRequest) findAtEndpoints() (model.SoftwareVersion, bool) {
	part, ok := p.ownPart()
	if !ok || !p.forwarder.arePartsOwn(p.service) {
		return "", false
	}
	likely := p.forwarder.likelyEndpoints(p.view, p.balancerRequest())
	first := min(askedFirst, len(likely))
	found := p.findHolders(likely[:first], part)
	if len(found) == 0 {
		found = p.findHolders(likely[first:], part)
	}
	for software := range found {
		return software, len(found) == 1 && software != ""
	}

	return "", false
}

// findHolders returns the software versions of the endpoints that have cached a part.
func (p *proxiedRequest) findHolders(endpoints []*cataloguer.Endpoint, part platform.CachedPart) map[model.SoftwareVersion]bool {
	var mu sync.Mutex
	found := map[model.SoftwareVersion]bool{}
	var w conc.WaitGroup
	for _, e := range endpoints {
		w.Go(func() {
			isHeld, err := p.forwarder.cacheLists.holds(p.ctx, e, part)
			if err != nil {
				p.forwarder.log.Write(logger.EventCacheListUnread, logger.String("endpoint", e.ID), logger.Err(err))
			}
			mu.Lock()
			defer mu.Unlock()
			if isHeld {
				found[e.Software] = true
			}
		})
	}
	w.Wait()

	return found
}

// arePartsOwn reports whether the last prompt parts of a service's requests belong to one request each.
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
