package gateway

import (
	"strings"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/platform"
)

// listing is what was decoded of the replicas; each item is decoded once.
type listing struct {
	configuration         *cataloguer.Configuration
	configurationRevision uint64
	out                   map[model.DomainID]bool
	endpoints             map[string]decoded
}

// decoded is one endpoint's entry; endpoint is nil when the entry names none to use.
type decoded struct {
	revision uint64
	endpoint *cataloguer.Endpoint
}

func newListing() *listing {
	return &listing{out: map[model.DomainID]bool{}, endpoints: map[string]decoded{}}
}

// rebuild brings the state of the replicas into force once both ranges are known; the caller holds the lock.
func (g *Gateway) rebuild() {
	g.decodeOperator()
	endpoints := g.decodeEndpoints()
	if g.listing.configuration == nil || !g.endpoints.HasSynced() {
		return
	}
	revision := max(g.operator.ContentRevision(), g.endpoints.ContentRevision())
	first := g.view.Load() == nil
	g.view.Store(cataloguer.NewView(g.listing.configuration, g.listing.out, endpoints, revision, g.clock.Now()))
	if first {
		close(g.known)
	}
}

func (g *Gateway) decodeOperator() {
	out := map[model.DomainID]bool{}
	for _, item := range g.operator.Items() {
		if domain, ok := strings.CutPrefix(item.Key, platform.KeyPrefixOutages); ok {
			out[model.DomainID(domain)] = true
		}
	}
	for d := range out {
		if !g.listing.out[d] {
			g.log.Write(logger.EventDomainOutOfService, logger.String("domain", d))
		}
	}
	for d := range g.listing.out {
		if !out[d] {
			g.log.Write(logger.EventDomainInService, logger.String("domain", d))
		}
	}
	g.listing.out = out
	item, ok := g.operator.Get(platform.KeyConfiguration)
	if ok && item.Revision > g.listing.configurationRevision {
		g.decodeConfiguration(item)
	}
}

// decodeConfiguration never goes back to an older version.
func (g *Gateway) decodeConfiguration(item replicator.Item) {
	g.listing.configurationRevision = item.Revision
	c, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Write(logger.EventConfigInvalid, logger.Int("revision", item.Revision), logger.Err(err))

		return
	}
	if old := g.listing.configuration; old != nil && c.Version <= old.Version {
		return
	}
	g.listing.configuration = c
	g.log.Write(logger.EventConfigAccepted, logger.Int("version", c.Version), logger.Int("revision", item.Revision))
}

func (g *Gateway) decodeEndpoints() []*cataloguer.Endpoint {
	items := g.endpoints.Items()
	endpoints := make([]*cataloguer.Endpoint, 0, len(items))
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		d, ok := g.listing.endpoints[item.Key]
		if !ok || d.revision != item.Revision {
			d = g.decodeEndpoint(item, d.endpoint)
			g.listing.endpoints[item.Key] = d
		}
		if d.endpoint != nil {
			endpoints = append(endpoints, d.endpoint)
		}
	}
	for key := range g.listing.endpoints {
		if !present[key] {
			delete(g.listing.endpoints, key)
			g.log.Write(logger.EventEndpointRemoved, logger.String("endpoint", endpointID(key)))
		}
	}

	return endpoints
}

func endpointID(key string) model.EndpointID {
	return model.EndpointID(strings.TrimPrefix(key, platform.RangeEndpoints))
}

func (g *Gateway) decodeEndpoint(item replicator.Item, before *cataloguer.Endpoint) decoded {
	id := endpointID(item.Key)
	e, err := platform.DecodeEndpoint(id, item.Value)
	if err != nil {
		g.log.Write(logger.EventEndpointUnreadable, logger.String("endpoint", id), logger.Err(err))

		return decoded{revision: item.Revision}
	}
	e.Revision = item.Revision
	e.FirstSeen = g.clock.Now()
	if before != nil {
		e.FirstSeen = before.FirstSeen
	}
	if e.ColdRemaining > 0 {
		e.ColdUntil = g.clock.Now() + e.ColdRemaining
	}
	g.logEndpoint(&e, before)

	return decoded{revision: item.Revision, endpoint: &e}
}

func (g *Gateway) logEndpoint(e, before *cataloguer.Endpoint) {
	fields := []logger.Field{
		logger.String("endpoint", e.ID), logger.String("service", e.Service),
		logger.String("domain", e.Domain), logger.Int("revision", e.Revision),
	}
	if before == nil {
		g.log.Write(logger.EventEndpointAdded, append(fields, logger.Int("cold-ms", e.ColdRemaining))...)
	}
	if e.IsLeaving && (before == nil || !before.IsLeaving) {
		g.log.Write(logger.EventEndpointDraining, fields...)
	}
	if e.ColdRemaining > 0 && before != nil {
		g.log.Write(logger.EventEndpointCold, append(fields, logger.Int("cold-ms", e.ColdRemaining))...)
	}
}
