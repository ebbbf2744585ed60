package balancer

import (
	"slices"

	"cardamompulley/fleet/timekeeper"

	"github.com/cespare/xxhash/v2"
)

// reportLifetime is how long the load report of another gateway is used; few requests run longer.
const reportLifetime = 3 * timekeeper.Second

// NameHash is a short hash that stands for a name in gossip messages, such as an endpoint ID or a gateway address.
// Collisions within a fleet are rare.
type NameHash uint32

// NameHashBytes is the size of a NameHash on the wire, in bytes.
const NameHashBytes = 3

// HashName returns the hash of a name.
func HashName[N ~string](name N) NameHash {
	return NameHash(xxhash.Sum64String(string(name)) & (1<<(8*NameHashBytes) - 1))
}

// EndpointLoad is the number of requests of one gateway that run at an endpoint.
type EndpointLoad struct {
	Endpoint NameHash
	Running  int
}

// LoadReport holds the running requests of one gateway at one time.
type LoadReport struct {
	Gateway   NameHash
	CountedAt timekeeper.Millis
	Loads     []EndpointLoad
	// lastBusyAt is the CountedAt of the gateway's newest known report with running requests.
	lastBusyAt timekeeper.Millis
}

// LoadReportHeaderBytes is the size on the wire of a report without running requests: gateway hash, age and count.
const LoadReportHeaderBytes = NameHashBytes + 2

// wireSize returns the size of a report on the wire, in bytes. Each running request takes one endpoint hash.
func (r LoadReport) wireSize() int {
	n := 0
	for _, l := range r.Loads {
		n += l.Running
	}

	return LoadReportHeaderBytes + n*NameHashBytes
}

// MergeReport takes in the load report of another gateway, received from itself or relayed. It ignores reports of this
// gateway, expired ones and those no newer than the report it holds.
func (b *Balancer) MergeReport(r LoadReport, now timekeeper.Millis) {
	held, ok := b.reports[r.Gateway]
	if r.Gateway == b.self || now-r.CountedAt >= reportLifetime || ok && held.CountedAt >= r.CountedAt {
		return
	}
	b.dropReport(r.Gateway)
	r.lastBusyAt = held.lastBusyAt
	if len(r.Loads) > 0 {
		r.lastBusyAt = r.CountedAt
	}
	b.reports[r.Gateway] = r
	b.reportTimeSum += r.CountedAt
	for _, l := range r.Loads {
		b.stateByHash(l.Endpoint).remoteRunning += l.Running
	}
}

const (
	// Load reports with a mean age of up to freshAge are as good as own counts and allow the whole load bound. The usable
	// share then falls linearly to staleBoundShare at staleAge.
	freshAge        = 100 * timekeeper.Millis(1)
	staleAge        = 600 * timekeeper.Millis(1)
	staleBoundShare = 0.8
)

// usableBoundShare returns the share of the load bound that this gateway uses. The rest is headroom for requests that other
// gateways have sent since their last report.
func (b *Balancer) usableBoundShare(now timekeeper.Millis) float64 {
	gateways, age := b.ReportAge(now)
	if gateways == 0 {
		return 1
	}
	staleness := float64(age-freshAge) / float64(staleAge-freshAge)

	return 1 - (1-staleBoundShare)*min(max(staleness, 0), 1)
}

// ReportAge returns the number of other gateways whose load reports are used, and the mean age of these reports.
func (b *Balancer) ReportAge(now timekeeper.Millis) (gateways int, age timekeeper.Millis) {
	if len(b.reports) == 0 {
		return 0, 0
	}

	return len(b.reports), now - b.reportTimeSum/timekeeper.Millis(len(b.reports))
}

// dropReport removes the report of a gateway and subtracts its loads.
func (b *Balancer) dropReport(gateway NameHash) {
	r := b.reports[gateway]
	for _, l := range r.Loads {
		b.stateByHash(l.Endpoint).remoteRunning -= l.Running
	}
	b.reportTimeSum -= r.CountedAt
	delete(b.reports, gateway)
}

// ExpireReports drops reports older than reportLifetime.
func (b *Balancer) ExpireReports(now timekeeper.Millis) {
	for gateway, r := range b.reports {
		if now-r.CountedAt >= reportLifetime {
			b.dropReport(gateway)
		}
	}
}

// ReportsFor returns the load reports to send to another gateway: this gateway's own, then those of others from new to old,
// as many as fit into maxBytes. The own report is always included, even if it is larger.
func (b *Balancer) ReportsFor(receiver NameHash, maxBytes int, now timekeeper.Millis) []LoadReport {
	reports := []LoadReport{b.ownReport(now)}
	bytesLeft := maxBytes - reports[0].wireSize()
	for _, r := range b.newestReports(receiver, now) {
		bytesLeft -= r.wireSize()
		if bytesLeft < 0 {
			break
		}
		reports = append(reports, r)
	}

	return reports
}

// IsBusy reports whether requests that this gateway has sent are running.
func (b *Balancer) IsBusy() bool {
	for _, s := range b.endpoints {
		if s.running > 0 {
			return true
		}
	}

	return false
}

func (b *Balancer) ownReport(now timekeeper.Millis) LoadReport {
	own := LoadReport{Gateway: b.self, CountedAt: now}
	for _, s := range b.endpoints {
		if s.running > 0 {
			own.Loads = append(own.Loads, EndpointLoad{Endpoint: s.hash, Running: s.running})
		}
	}

	return own
}

// newestReports returns the reports of gateways other than the receiver, newest first. It leaves out gateways that have had
// no running requests for reportLifetime, since their reports change nothing at the receiver.
func (b *Balancer) newestReports(receiver NameHash, now timekeeper.Millis) []LoadReport {
	others := make([]LoadReport, 0, len(b.reports))
	for gateway, r := range b.reports {
		if gateway != receiver && now-r.lastBusyAt < reportLifetime {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(x, y LoadReport) int { return int(y.CountedAt - x.CountedAt) })

	return others
}
