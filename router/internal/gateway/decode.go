package gateway

import (
	"bytes"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

// decodedState caches what was decoded from the replicas, so that each change of an item is decoded once.
type decodedState struct {
	configuration *cataloguer.Configuration
	// configurationPosition is that of the last item that was decoded, whether it was adopted or not.
	configurationPosition replicator.Position
	// domainsOut holds the failure domains that operators have taken out of service.
	domainsOut map[model.DomainID]bool
	endpoints  map[string]decodedEndpoint
}

// decodedEndpoint is the decoded entry of one endpoint; endpoint is nil if the entry is unusable.
type decodedEndpoint struct {
	item     replicator.Item
	endpoint *cataloguer.Endpoint
}

// isUnusable reports whether an entry was decoded and names no endpoint.
func (d *decodedEndpoint) isUnusable() bool {
	return d.item.Key != "" && d.endpoint == nil
}

// entriesRefused counts the changes of entries that name no endpoint.
var entriesRefused = metrics.NewCounter("gateway_endpoint_entries_refused_total")

func newDecodedState() *decodedState {
	return &decodedState{domainsOut: map[model.DomainID]bool{}, endpoints: map[string]decodedEndpoint{}}
}

// rebuildView publishes a new view from the replicas, once there is a configuration and the endpoint range has been read.
// g.mu must be held.
func (g *Gateway) rebuildView() {
	g.decodeOperatorRange()
	endpoints := g.decodeEndpointRange()
	g.forwarder.UpdateVersions(func(h *resumer.VersionHistory) { h.Observe(endpoints, g.clock.Now()) })
	if g.decoded.configuration == nil || !g.endpointReplica.HasSynced() {
		return
	}
	isFirst := g.view.Load() == nil
	g.view.Store(cataloguer.NewView(g.decoded.configuration, g.decoded.domainsOut, endpoints, g.clock.Now()))
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
	if ok && item.Position != g.decoded.configurationPosition {
		g.decodeConfiguration(item)
	}
}

// decodeConfiguration adopts the configuration in item if it is valid and its version is newer than the current one.
func (g *Gateway) decodeConfiguration(item replicator.Item) {
	g.decoded.configurationPosition = item.Position
	c, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Write(logger.EventConfigInvalid, append(positionFields(item.Position), logger.Err(err))...)

		return
	}
	if old := g.decoded.configuration; old != nil && c.Version <= old.Version {
		return
	}
	g.decoded.configuration = c
	g.log.Write(logger.EventConfigAccepted, append([]logger.Field{logger.Int("version", c.Version)}, positionFields(item.Position)...)...)
}

// positionFields returns the log fields of a position in the store's history.
func positionFields(p replicator.Position) []logger.Field {
	return []logger.Field{logger.Int("era", p.Era), logger.Int("revision", p.Revision)}
}

// decodeEndpointRange returns the usable endpoints of the endpoint range and logs removed ones.
func (g *Gateway) decodeEndpointRange() []*cataloguer.Endpoint {
	items := g.endpointReplica.Items()
	endpoints := make([]*cataloguer.Endpoint, 0, len(items))
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		d, ok := g.decoded.endpoints[item.Key]
		if !ok || d.item.Position != item.Position {
			d = g.decodeEndpoint(item, d)
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

// decodeEndpoint decodes a new or changed entry; previous is the state of its last change, or empty. An entry that a restored
// store holds as before means the same as before.
func (g *Gateway) decodeEndpoint(item replicator.Item, previous decodedEndpoint) decodedEndpoint {
	isRestored := previous.item.Era != item.Era
	if previous.endpoint != nil && isRestored && bytes.Equal(previous.item.Value, item.Value) {
		return decodedEndpoint{item: item, endpoint: previous.endpoint}
	}
	id := endpointID(item.Key)
	e, err := platform.DecodeEndpoint(id, item.Value)
	if err != nil {
		entriesRefused.Inc()
		if !previous.isUnusable() {
			g.log.Write(logger.EventEndpointUnreadable, logger.String("endpoint", id), logger.Err(err))
		}

		return decodedEndpoint{item: item}
	}
	e.RunningSince = g.runningSince(&e, previous.endpoint)
	if previous.endpoint != nil {
		g.markOriginsUncertain(&e, previous.endpoint)
	}
	if e.ColdRemaining > 0 {
		e.ColdUntil = g.clock.Now() + e.ColdRemaining
	}
	g.logEndpointChange(&e, previous.endpoint, item.Position)

	return decodedEndpoint{item: item, endpoint: &e}
}

// runningSince returns since when the process of an endpoint has run. An endpoint's clock may differ from this one's: a start in the
// future counts as now.
func (g *Gateway) runningSince(e, previous *cataloguer.Endpoint) timekeeper.Millis {
	if previous != nil && previous.Process() == e.Process() {
		return previous.RunningSince
	}
	now := g.clock.Now()
	if e.StartedAt <= 0 {
		return now
	}

	return now - max(g.clock.Wall()-e.StartedAt, 0)
}

// logEndpointChange logs an endpoint that was added, has started to drain, or is cold in a later change of its entry.
func (g *Gateway) logEndpointChange(e, previous *cataloguer.Endpoint, p replicator.Position) {
	fields := append([]logger.Field{
		logger.String("endpoint", e.ID), logger.String("service", e.Service), logger.String("domain", e.Domain),
		logger.String("software", e.Software), logger.Int("started-at", e.StartedAt),
	}, positionFields(p)...)
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

// isOutdatedConfiguration reports whether a restored store holds a configuration of a lower version than the known one. All else
// that it holds of the operators counts.
func isOutdatedConfiguration(known, restored replicator.Item) bool {
	if restored.Key != platform.KeyConfiguration {
		return false
	}
	older, err := platform.DecodeConfiguration(restored.Value)
	if err != nil {
		return true
	}
	newer, err := platform.DecodeConfiguration(known.Value)

	return err == nil && older.Version < newer.Version
}

// isOutdatedEntry reports whether the entry of an endpoint that a restored store holds is older than the known one: it is of an
// earlier process, or of the same one before it began to drain or left.
func isOutdatedEntry(known, restored replicator.Item) bool {
	older, err := platform.DecodeEndpoint(endpointID(restored.Key), restored.Value)
	if err != nil {
		return true
	}
	newer, err := platform.DecodeEndpoint(endpointID(known.Key), known.Value)
	if err != nil {
		return false
	}
	if older.StartedAt != newer.StartedAt {
		return older.StartedAt < newer.StartedAt
	}

	return known.IsDeleted || (newer.IsDraining && !older.IsDraining)
}
