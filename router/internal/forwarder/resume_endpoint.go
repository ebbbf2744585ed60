package forwarder

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
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

// KeptQuestion asks how much endpoints keep of a prompt part.
type KeptQuestion struct {
	Part      uint64
	Model     model.ModelID
	Endpoints []model.EndpointProcess
	// MaxAge is the age beyond which what an endpoint has said does not count.
	MaxAge timekeeper.Millis
}

// holderVersions holds the software versions of the endpoints that have generated tokens after a prompt part, and of those that have
// at least read it.
type holderVersions struct {
	generated, read []model.SoftwareVersion
}

// add records how much an endpoint keeps of the part. Tokens that a request has generated count to the last part of its prompt.
func (v *holderVersions) add(e *cataloguer.Endpoint, kept model.Tokens, part model.PromptPart) {
	if kept > part.Tokens {
		v.generated = append(v.generated, e.Software)
	}
	if kept > 0 {
		v.read = append(v.read, e.Software)
	}
}

// askHolders asks how much endpoints keep of a part. Each endpoint is asked by one gateway, so that the number of lists that it makes
// does not grow with the number of gateways; if that gateway does not know, this one asks the endpoint itself.
func (p *proxiedRequest) askHolders(endpoints []*cataloguer.Endpoint, part model.PromptPart) holderVersions {
	byReader := map[string][]*cataloguer.Endpoint{}
	for _, e := range endpoints {
		reader := p.forwarder.ListReader(e.Process())
		byReader[reader] = append(byReader[reader], e)
	}
	var mu sync.Mutex
	var found holderVersions
	var w conc.WaitGroup
	for reader, group := range byReader {
		w.Go(func() {
			for e, kept := range p.keptByReader(reader, group, part) {
				mu.Lock()
				found.add(e, kept, part)
				mu.Unlock()
			}
		})
	}
	w.Wait()

	return found
}

// keptByReader returns how much endpoints keep of a part, as another gateway knows or, where it does not, as they say themselves. The
// reader is empty if this gateway asks them.
func (p *proxiedRequest) keptByReader(reader string, endpoints []*cataloguer.Endpoint, part model.PromptPart) map[*cataloguer.Endpoint]model.Tokens {
	q := p.keptQuestion(endpoints, part)
	kept := map[model.EndpointProcess]model.Tokens{}
	if reader != "" {
		kept = p.forwarder.AskKept(p.ctx, reader, q)
	}
	unknown := slices.DeleteFunc(slices.Clone(endpoints), func(e *cataloguer.Endpoint) bool {
		_, ok := kept[e.Process()]

		return ok
	})
	q.Endpoints = processes(unknown)
	maps.Copy(kept, p.forwarder.Kept(p.ctx, p.view, q))
	byEndpoint := map[*cataloguer.Endpoint]model.Tokens{}
	for _, e := range endpoints {
		if tokens, ok := kept[e.Process()]; ok {
			byEndpoint[e] = tokens
		}
	}

	return byEndpoint
}

// keptQuestion returns the question how much endpoints keep of a part. A gateway does not trust lists from before its own start: what
// has happened until then it does not know.
func (p *proxiedRequest) keptQuestion(endpoints []*cataloguer.Endpoint, part model.PromptPart) KeptQuestion {
	return KeptQuestion{
		Part: part.ID, Model: p.metadata.Model, Endpoints: processes(endpoints),
		MaxAge: min(cacheListLifetime, p.forwarder.clock.Now()-p.forwarder.startedAt),
	}
}

// processes returns the runs of endpoints.
func processes(endpoints []*cataloguer.Endpoint) []model.EndpointProcess {
	var ps []model.EndpointProcess
	for _, e := range endpoints {
		ps = append(ps, e.Process())
	}

	return ps
}

// Kept returns how much endpoints keep of a part, by lists that this gateway reads or has read. It leaves out endpoints that it does not
// know and those that make no list in time.
func (f *Forwarder) Kept(ctx context.Context, v *cataloguer.View, q KeptQuestion) map[model.EndpointProcess]model.Tokens {
	var mu sync.Mutex
	var w conc.WaitGroup
	kept := map[model.EndpointProcess]model.Tokens{}
	for _, process := range q.Endpoints {
		e := v.Endpoint(process.ID)
		if e == nil || e.Process() != process {
			continue
		}
		w.Go(func() {
			tokens, err := f.cacheLists.kept(ctx, e, cachedPartKey{id: q.Part, model: q.Model}, q.MaxAge)
			if err != nil {
				f.log.Write(logger.EventCacheListUnread, logger.String("endpoint", e.ID), logger.Err(err))

				return
			}
			mu.Lock()
			defer mu.Unlock()
			kept[process] = tokens
		})
	}
	w.Wait()

	return kept
}

// asksItself is the reader of all lists of a gateway without others.
func asksItself(model.EndpointProcess) string {
	return ""
}

// knowsNothing is what a gateway without others learns from them about cached parts.
func knowsNothing(context.Context, string, KeptQuestion) map[model.EndpointProcess]model.Tokens {
	return map[model.EndpointProcess]model.Tokens{}
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
