package balancer

import (
	"slices"

	"cardamompulley/fleet/timekeeper"

	"github.com/cespare/xxhash/v2"
)

// reportLifetime is how long the counts of another gateway are believed; few answers take longer.
const reportLifetime = 3 * timekeeper.Second

// Code stands for a name in reports, an endpoint's ID or a gateway's address: it is short, and two names of a fleet hardly
// ever share one.
type Code uint32

// CodeBytes is the number of bytes that a code has.
const CodeBytes = 3

// CodeOf returns the code of a name.
func CodeOf[N ~string](name N) Code {
	return Code(xxhash.Sum64String(string(name)) & (1<<(8*CodeBytes) - 1))
}

// Use is how many requests of one gateway run at an endpoint.
type Use struct {
	Endpoint Code
	Running  int
}

// Report is the running requests of one gateway as it counted them at an instant.
type Report struct {
	Gateway Code
	At      timekeeper.Millis
	Uses    []Use
	// busyAt is when the gateway last had requests running, as far as this one has heard.
	busyAt timekeeper.Millis
}

// ReportBytes is the size of a report without running requests on the wire: code, age and number.
const ReportBytes = CodeBytes + 2

// size returns the bytes that a report takes on the wire.
func (r Report) size() int {
	n := 0
	for _, u := range r.Uses {
		n += u.Running
	}

	return ReportBytes + n*CodeBytes
}

// Report takes the running requests of another gateway, from itself or relayed; older counts than those held are dropped.
func (b *Balancer) Report(r Report, now timekeeper.Millis) {
	held, ok := b.reports[r.Gateway]
	if r.Gateway == b.self || now-r.At >= reportLifetime || ok && held.At >= r.At {
		return
	}
	b.drop(r.Gateway)
	r.busyAt = held.busyAt
	if len(r.Uses) > 0 {
		r.busyAt = r.At
	}
	b.reports[r.Gateway] = r
	b.reportedAt += r.At
	for _, u := range r.Uses {
		b.coded(u.Endpoint).remote += u.Running
	}
}

const (
	// Reports younger than freshAge are as good as counts of one's own; from staleAge on only a share of the bound is used.
	freshAge   = 100 * timekeeper.Millis(1)
	staleAge   = 600 * timekeeper.Millis(1)
	staleShare = 0.8
)

// boundShare is the share of the load bound that this gateway uses; the rest is for requests that others have sent since
// they were last heard of.
func (b *Balancer) boundShare(now timekeeper.Millis) float64 {
	if len(b.reports) == 0 {
		return 1
	}
	age := now - b.reportedAt/timekeeper.Millis(len(b.reports))
	stale := float64(age-freshAge) / float64(staleAge-freshAge)

	return 1 - (1-staleShare)*min(max(stale, 0), 1)
}

// drop takes back what a gateway has reported.
func (b *Balancer) drop(gateway Code) {
	r := b.reports[gateway]
	for _, u := range r.Uses {
		b.coded(u.Endpoint).remote -= u.Running
	}
	b.reportedAt -= r.At
	delete(b.reports, gateway)
}

// Expire drops the counts of gateways that have not been heard of lately.
func (b *Balancer) Expire(now timekeeper.Millis) {
	for gateway, r := range b.reports {
		if now-r.At >= reportLifetime {
			b.drop(gateway)
		}
	}
}

// Reports returns this gateway's own counts and, newest first, those of others that a receiver may lack, as many as a
// number of bytes holds.
func (b *Balancer) Reports(receiver Code, bytes int, now timekeeper.Millis) []Report {
	told := []Report{b.ownReport(now)}
	room := bytes - told[0].size()
	for _, r := range b.newest(receiver, now) {
		room -= r.size()
		if room < 0 {
			break
		}
		told = append(told, r)
	}

	return told
}

// Busy tells whether requests run that this gateway has sent.
func (b *Balancer) Busy() bool {
	for _, m := range b.members {
		if m.running > 0 {
			return true
		}
	}

	return false
}

func (b *Balancer) ownReport(now timekeeper.Millis) Report {
	own := Report{Gateway: b.self, At: now}
	for _, m := range b.members {
		if m.running > 0 {
			own.Uses = append(own.Uses, Use{Endpoint: m.code, Running: m.running})
		}
	}

	return own
}

// newest returns the reports of other gateways than a receiver, newest first; those that have had nothing running for long
// are no news.
func (b *Balancer) newest(receiver Code, now timekeeper.Millis) []Report {
	others := make([]Report, 0, len(b.reports))
	for gateway, r := range b.reports {
		if gateway != receiver && now-r.busyAt < reportLifetime {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(x, y Report) int { return int(y.At - x.At) })

	return others
}
