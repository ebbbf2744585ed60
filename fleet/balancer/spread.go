package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/spreader"
	"cardamompulley/fleet/timekeeper"
)

const (
	// boundDeviations is how many standard deviations an endpoint's load is expected to stay under the usable bound: a normal quantity lies
	// further above its mean in 7 cases of 100. The usable bound itself leaves room for loads that grow while reports are old.
	boundDeviations = 1.5
	// aliveShare is the share of the mean load under which an endpoint may be one that takes no requests, which looks idle.
	aliveShare = 0.25
	// equalCost is the difference in cost, as a share of the slots, that is no reason to prefer an endpoint.
	equalCost = 0.02
)

// expectation computes the loads to expect now at the endpoints of a service.
type expectation struct {
	// lifetime is nil if the gateway does not spread requests: the counts are then taken as they are.
	lifetime *spreader.Lifetime
	// running sums up the requests of this gateway.
	running int
	// unknownShare is the share of the loads of others that has changed unseen since their reports, reportAge the mean age of these.
	unknownShare   float64
	reportAge, now timekeeper.Millis
	// growthTime is the time within which own starts show how the loads of others have grown unseen, zero if that is not counted, others the
	// number of gateways that have reported.
	growthTime timekeeper.Millis
	others     int
}

// newExpectation weights the reports of other gateways by their age. It answers counts that are older than the requests they count: very
// many gateways, or requests of some tens of milliseconds.
func (b *Balancer) newExpectation(service model.ServiceID, now timekeeper.Millis) expectation {
	x := expectation{now: now}
	if b.Random == nil {
		return x
	}
	if b.lifetimes[service] == nil {
		b.lifetimes[service] = &spreader.Lifetime{}
	}
	x.lifetime = b.lifetimes[service]
	for _, s := range b.byHash {
		s.keptRunning = 0
	}
	if len(b.reports) == 0 {
		return x
	}
	mean, known := x.lifetime.Mean(), 0.0
	for _, r := range b.reports {
		kept := spreader.KeptShare(now-r.CountedAt, mean)
		known += kept
		for _, l := range r.Loads {
			b.stateByHash(l.Endpoint).keptRunning += kept * float64(l.Running)
		}
	}
	x.others, x.reportAge = b.ReportAge(now)
	x.unknownShare = 1 - known/float64(len(b.reports))

	return x
}

// countGrowth makes the loads include what the own starts show of those of others. What has begun since the reports and ended is not counted.
func (x *expectation) countGrowth() {
	if x.lifetime != nil {
		x.growthTime = min(x.reportAge, x.lifetime.Mean())
	}
}

// load returns the load to expect at an endpoint: the own requests, those of others that still run, and what usually runs there instead of
// those that have ended.
func (x *expectation) load(s *endpointState) float64 {
	if x.lifetime == nil {
		return float64(s.running + s.remoteRunning)
	}
	x.running += s.running

	usual := x.unknownShare * s.usual.Record(s.remoteRunning, x.reportAge, x.now)

	return float64(s.running) + s.keptRunning + spreader.Unseen(usual, s.starts.Recent(x.growthTime, x.now), x.others)
}

// recordStart records the start of the request that is placed.
func (x *expectation) recordStart() {
	if x.lifetime != nil {
		x.lifetime.RecordStart(x.running, x.now)
	}
}

// sessionBound returns the load from which an endpoint is over the bound for one more request of a session. With few requests an endpoint,
// chance needs the most headroom; with many, a load that grows while reports are old.
func (b *Balancer) sessionBound(set *candidateSet, now timekeeper.Millis) float64 {
	usable := b.usableBoundShare(now) * b.loadMultiple * set.meanLoad
	if b.Random == nil {
		return float64(int(usable) + loadSlack)
	}

	return spreader.Bound(usable+loadSlack, set.expectation.unknownShare, boundDeviations)
}

// isRoomy reports whether an endpoint is to be preferred for a session whose prompt no endpoint within the bound holds: it serves requests,
// and less than the mean.
func (b *Balancer) isRoomy(set *candidateSet, c *candidate) bool {
	return b.Random != nil && !c.isLimited && c.expected < set.meanLoad && c.expected > aliveShare*set.meanLoad
}

// chooseSpread returns one of the endpoints with the lowest costs, by a random number.
func (b *Balancer) chooseSpread(set candidateSet) Choice {
	costs := make([]float64, len(set.candidates))
	for i := range costs {
		costs[i] = b.cost(&set.candidates[i])
	}

	return set.choice(&set.candidates[spreader.Pick(costs, equalCost, b.Random())], ReasonLeastLoaded)
}

// Unevenness returns the largest load to expect at an endpoint over the mean, for each service with endpoints in use.
func (b *Balancer) Unevenness(v *cataloguer.View, now timekeeper.Millis) map[model.ServiceID]float64 {
	uneven := map[model.ServiceID]float64{}
	for id := range v.Configuration.Services {
		x := b.newExpectation(id, now)
		var loads []float64
		for _, e := range v.Endpoints(id) {
			loads = append(loads, x.load(b.state(e.ID)))
		}
		if u := spreader.Unevenness(loads); u > 0 {
			uneven[id] = u
		}
	}

	return uneven
}
