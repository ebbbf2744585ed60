package gateway

import (
	"strings"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/platform"
)

// decodedState caches what was decoded from the replicas, so that each revision of an item is decoded once.
type decodedState struct {
	configuration         *cataloguer.Configuration
	configurationRevision uint64
	// domainsOut holds the failure domains that operators have taken out of service.
	domainsOut map[model.DomainID]bool
	endpoints  map[string]decodedEndpoint
}

// decodedEndpoint is the decoded entry of one endpoint; endpoint is nil if the entry is unusable.
type decodedEndpoint struct {
	revision uint64
	endpoint *cataloguer.Endpoint
}

func newDecodedState() *decodedState {
	return &decodedState{domainsOut: map[model.DomainID]bool{}, endpoints: map[string]decodedEndpoint{}}
}

// rebuildView publishes a new view from the replicas, once there is a configuration and the endpoint range has been read.
// g.mu must be held.
func (g *Gateway) rebuildView() {
	g.decodeOperatorRange()
	endpoints := g.decodeEndpointRange()
	if g.decoded.configuration == nil || !g.endpointReplica.HasSynced() {
		return
	}
	revision := max(g.operatorReplica.ContentRevision(), g.endpointReplica.ContentRevision())
	isFirst := g.view.Load() == nil
	g.view.Store(cataloguer.NewView(g.decoded.configuration, g.decoded.domainsOut, endpoints, revision, g.clock.Now()))
	if isFirst {
		close(g.viewReady)
	}
}

// decodeOperatorRange updates the failure domains out of service and the configuration from the operator range, and
// logs changes.
func (g *Gateway) decodeOperatorRange() {
	domainsOut := map[model.DomainID]bool{}
	for _, item := range g.operatorReplica.Items() {
		if domain, ok := strings.CutPrefix(item.Key, platform.KeyPrefixOutages); ok {
			domainsOut[model.DomainID(domain)] = true
		}
	}
	for d := range domainsOut {
		if !g.decoded.domainsOut[d] {
			g.log.Write(logger.EventDomainOutOfService, logger.String("domain", d))
		}
	}
	for d := range g.decoded.domainsOut {
		if !domainsOut[d] {
			g.log.Write(logger.EventDomainInService, logger.String("domain", d))
		}
	}
	g.decoded.domainsOut = domainsOut
	item, ok := g.operatorReplica.Get(platform.KeyConfiguration)
	if ok && item.Revision > g.decoded.configurationRevision {
		g.decodeConfiguration(item)
	}
}

// decodeConfiguration adopts the configuration in item if it is valid and its version is newer than the current one.
func (g *Gateway) decodeConfiguration(item replicator.Item) {
	g.decoded.configurationRevision = item.Revision
	c, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Write(logger.EventConfigInvalid, logger.Int("revision", item.Revision), logger.Err(err))

		return
	}
	if old := g.decoded.configuration; old != nil && c.Version <= old.Version {
		return
	}
	g.decoded.configuration = c
	g.log.Write(logger.EventConfigAccepted, logger.Int("version", c.Version), logger.Int("revision", item.Revision))
}

// decodeEndpointRange returns the usable endpoints of the endpoint range and logs removed ones.
func (g *Gateway) decodeEndpointRange() []*cataloguer.Endpoint {
	items := g.endpointReplica.Items()
	endpoints := make([]*cataloguer.Endpoint, 0, len(items))
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		d, ok := g.decoded.endpoints[item.Key]
		if !ok || d.revision != item.Revision {
			d = g.decodeEndpoint(item, d.endpoint)
			g.decoded.endpoints[item.Key] = d
		}
		if d.endpoint != nil {
			endpoints = append(endpoints, d.endpoint)
		}
	}
	for key := range g.decoded.endpoints {
		if !present[key] {
			delete(g.decoded.endpoints, key)
			g.log.Write(logger.EventEndpointRemoved, logger.String("endpoint", endpointID(key)))
		}
	}

	return endpoints
}

// endpointID returns the endpoint ID in a store key.
func endpointID(key string) model.EndpointID {
	return model.EndpointID(strings.TrimPrefix(key, platform.RangeEndpoints))
}

// decodeEndpoint decodes a new or changed entry; previous is the endpoint of the entry's earlier revision, or nil.
func (g *Gateway) decodeEndpoint(item replicator.Item, previous *cataloguer.Endpoint) decodedEndpoint {
	id := endpointID(item.Key)
	e, err := platform.DecodeEndpoint(id, item.Value)
	if err != nil {
		g.log.Write(logger.EventEndpointUnreadable, logger.String("endpoint", id), logger.Err(err))

		return decodedEndpoint{revision: item.Revision}
	}
	e.Revision = item.Revision
	e.FirstSeen = g.clock.Now()
	if previous != nil {
		e.FirstSeen = previous.FirstSeen
	}
	if e.ColdRemaining > 0 {
		e.ColdUntil = g.clock.Now() + e.ColdRemaining
	}
	g.logEndpointChange(&e, previous)

	return decodedEndpoint{revision: item.Revision, endpoint: &e}
}

// logEndpointChange logs an endpoint that was added, has started to drain, or is cold in a later revision of its entry.
func (g *Gateway) logEndpointChange(e, previous *cataloguer.Endpoint) {
	fields := []logger.Field{
		logger.String("endpoint", e.ID), logger.String("service", e.Service),
		logger.String("domain", e.Domain), logger.Int("revision", e.Revision),
	}
	if previous == nil {
		g.log.Write(logger.EventEndpointAdded, append(fields, logger.Int("cold-ms", e.ColdRemaining))...)
	}
	if e.IsDraining && (previous == nil || !previous.IsDraining) {
		g.log.Write(logger.EventEndpointDraining, fields...)
	}
	if e.ColdRemaining > 0 && previous != nil {
		g.log.Write(logger.EventEndpointCold, append(fields, logger.Int("cold-ms", e.ColdRemaining))...)
	}
}
