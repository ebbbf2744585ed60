package budgeter

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// settleSpan is how long a new process must have heard of no further gateway before it spends shares of sums.
	settleSpan = 1500 * timekeeper.Millis(1)
	// vouchSpan is how long after its last trade with this process a gateway is named to others.
	vouchSpan = 5 * timekeeper.Minute
	// forgetSpan is how long a gateway counts after anybody has last named it: far beyond every window of the sums, and
	// short enough that VMs that were replaced do not take shares for ever.
	forgetSpan = 15 * timekeeper.Minute
)

// Roster is the gateways that a process knows; no share grows on a silence shorter than forgetSpan.
type Roster struct {
	self    string
	known   []string
	seen    map[string]sighting
	grown   timekeeper.Millis
	traded  bool
	settled bool
}

// sighting is when a gateway was last named by anybody, and when it last traded with this process itself.
type sighting struct {
	named timekeeper.Millis
	heard timekeeper.Millis
}

// NewRoster returns the roster of a process that knows itself and its seeds.
func NewRoster(self string, seeds []string, now timekeeper.Millis) *Roster {
	r := &Roster{self: self, grown: now, seen: map[string]sighting{}}
	r.Meet(append([]string{self}, seeds...), now)

	return r
}

// Meet adds gateways and returns those that were not known.
func (r *Roster) Meet(names []string, now timekeeper.Millis) []string {
	var fresh []string
	for _, name := range names {
		if name == "" {
			continue
		}
		r.seen[name] = sighting{named: now, heard: r.seen[name].heard}
		at, ok := slices.BinarySearch(r.known, name)
		if ok {
			continue
		}
		r.known = slices.Insert(r.known, at, name)
		r.grown = now
		fresh = append(fresh, name)
	}

	return fresh
}

// Traded notes that a gateway has told whom it knows.
func (r *Roster) Traded(name string, now timekeeper.Millis) {
	r.traded = true
	r.seen[name] = sighting{named: now, heard: now}
}

// Vouched returns the gateways that this process has itself traded with lately, and its own name.
func (r *Roster) Vouched(now timekeeper.Millis) []string {
	var vouched []string
	for _, name := range r.known {
		heard := r.seen[name].heard
		if name == r.self || (heard > 0 && now-heard < vouchSpan) {
			vouched = append(vouched, name)
		}
	}

	return vouched
}

// Forget drops gateways that nobody has named for long and returns them.
func (r *Roster) Forget(now timekeeper.Millis) []string {
	var gone []string
	r.known = slices.DeleteFunc(r.known, func(name string) bool {
		if name == r.self || now-r.seen[name].named < forgetSpan {
			return false
		}
		gone = append(gone, name)
		delete(r.seen, name)

		return true
	})

	return gone
}

// Known returns all gateways in order.
func (r *Roster) Known() []string {
	return r.known
}

// Sharers returns the gateways that a sum is divided among, or none while this process may not know them all yet.
func (r *Roster) Sharers(now timekeeper.Millis) []string {
	alone := len(r.known) == 1
	if !r.settled && (r.traded || alone) && now-r.grown >= settleSpan {
		r.settled = true
	}
	if !r.settled {
		return nil
	}

	return r.known
}
