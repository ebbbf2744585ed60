package budgeter

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// settleDelay is how long the membership must have gained no gateway before a new process spends shares of fleet-wide
	// limits.
	settleDelay = 1500 * timekeeper.Millis(1)
	// confirmedLifetime is how long after its last exchange with this process a gateway is advertised to others.
	confirmedLifetime = 5 * timekeeper.Minute
	// memberLifetime is how long a gateway counts as a member after it was last named in any exchange. It is far longer than
	// the windows of the limits, and short enough that replaced VMs do not hold shares forever.
	memberLifetime = 15 * timekeeper.Minute
)

// Membership is the set of gateways that a process knows from gossip. A gateway that is no longer named keeps its share of
// the fleet-wide limits for memberLifetime; until then the shares of the others do not grow.
type Membership struct {
	self    string
	members []string
	// contacts holds the members' last contacts by address.
	contacts     map[string]contact
	lastAddition timekeeper.Millis
	hasExchanged bool
	isSettled    bool
}

// contact holds when a gateway was last named in any exchange, and when it last exchanged gossip with this process itself.
type contact struct {
	lastNamed    timekeeper.Millis
	lastExchange timekeeper.Millis
}

// NewMembership returns the membership of a process that knows itself and its seeds.
func NewMembership(self string, seeds []string, now timekeeper.Millis) *Membership {
	m := &Membership{self: self, lastAddition: now, contacts: map[string]contact{}}
	m.Add(append([]string{self}, seeds...), now)

	return m
}

// Add records that gateways were named by a peer, and returns the addresses that were not members before.
func (m *Membership) Add(addresses []string, now timekeeper.Millis) []string {
	var added []string
	for _, address := range addresses {
		if address == "" {
			continue
		}
		m.contacts[address] = contact{lastNamed: now, lastExchange: m.contacts[address].lastExchange}
		i, ok := slices.BinarySearch(m.members, address)
		if ok {
			continue
		}
		m.members = slices.Insert(m.members, i, address)
		m.lastAddition = now
		added = append(added, address)
	}

	return added
}

// RecordExchange records that a gateway has sent this process the members that it knows.
func (m *Membership) RecordExchange(address string, now timekeeper.Millis) {
	m.hasExchanged = true
	m.contacts[address] = contact{lastNamed: now, lastExchange: now}
}

// Confirmed returns this gateway and the members that have exchanged gossip with it directly within confirmedLifetime. Only
// these are advertised to peers. If gateways also passed on addresses that they know only from others, replaced ones would
// never expire.
func (m *Membership) Confirmed(now timekeeper.Millis) []string {
	var confirmed []string
	for _, address := range m.members {
		lastExchange := m.contacts[address].lastExchange
		if address == m.self || (lastExchange > 0 && now-lastExchange < confirmedLifetime) {
			confirmed = append(confirmed, address)
		}
	}

	return confirmed
}

// RemoveExpired removes and returns the members that have not been named within memberLifetime.
func (m *Membership) RemoveExpired(now timekeeper.Millis) []string {
	var removed []string
	m.members = slices.DeleteFunc(m.members, func(address string) bool {
		if address == m.self || now-m.contacts[address].lastNamed < memberLifetime {
			return false
		}
		removed = append(removed, address)
		delete(m.contacts, address)

		return true
	})

	return removed
}

// Members returns the addresses of all known gateways in ascending order.
func (m *Membership) Members() []string {
	return m.members
}

// SettledMembers returns the gateways among which fleet-wide limits are divided. It returns nil until the membership has
// settled, because a new process that does not know all gateways yet would take too large a share.
func (m *Membership) SettledMembers(now timekeeper.Millis) []string {
	isAlone := len(m.members) == 1
	if !m.isSettled && (m.hasExchanged || isAlone) && now-m.lastAddition >= settleDelay {
		m.isSettled = true
	}
	if !m.isSettled {
		return nil
	}

	return m.members
}
