package sourcer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/timekeeper"
)

const (
	// followersPerReader is the number of gateways that one reader serves. More would use up the control traffic that a gateway may have.
	followersPerReader = 4
	// minReaders leaves a reader in a domain that has lost one.
	minReaders = 2
	// settleTime is how long a new process reads the store itself: until then it may know too few others to agree with them on readers.
	settleTime = 3 * timekeeper.Second
	// distrustTime is how long a reader that did not answer in time is not followed.
	distrustTime = 5 * timekeeper.Second
)

// Timing holds the times by which a change reaches a follower before it has to be in force, whatever happens to its reader.
type Timing struct {
	// ReadWait is how long a reader that has followers waits for changes in one call to the store.
	ReadWait timekeeper.Millis
	// FollowWait is how long a follower waits for changes in one call to its reader, FollowTimeout when it gives the call up.
	FollowWait, FollowTimeout timekeeper.Millis
	// MaxSilence is the longest time since the store answered a reader for which it is followed.
	MaxSilence timekeeper.Millis
}

// Parts of the time in which a change has to be in force. A follower notices a reader that stands still after followTimeoutPart, and one
// that does not hear from the store after maxSilencePart.
const (
	readWaitPart      = 0.2
	followWaitPart    = 0.25
	followTimeoutPart = 0.4
	maxSilencePart    = 0.4
)

// NewTiming returns the times for changes that have to be in force within a bound.
func NewTiming(bound timekeeper.Millis) Timing {
	part := func(p float64) timekeeper.Millis { return max(timekeeper.Millis(p*float64(bound)), 1) }

	return Timing{
		ReadWait: part(readWaitPart), FollowWait: part(followWaitPart), FollowTimeout: part(followTimeoutPart), MaxSilence: part(maxSilencePart),
	}
}

// Sourcer chooses the source of one gateway. It is not safe for concurrent use.
type Sourcer struct {
	Timing Timing

	self       string
	startedAt  timekeeper.Millis
	distrusted map[string]timekeeper.Millis
}

// NewSourcer returns the sourcer of the gateway self, which has started now.
func NewSourcer(self string, t Timing, now timekeeper.Millis) *Sourcer {
	return &Sourcer{Timing: t, self: self, startedAt: now, distrusted: map[string]timekeeper.Millis{}}
}

// ReaderCount returns how many of a domain's gateways read the store.
func ReaderCount(gateways int) int {
	return max((gateways+followersPerReader)/(followersPerReader+1), min(minReaders, gateways))
}

// Source returns the gateway to follow, or an empty string for the store. Others are the reachable gateways of the own domain.
func (s *Sourcer) Source(others []string, now timekeeper.Millis) string {
	if now-s.startedAt < settleTime {
		return ""
	}
	readers := rank(append(slices.Clone(others), s.self), 0)[:ReaderCount(len(others)+1)]
	if slices.Contains(readers, s.self) {
		return ""
	}
	for _, reader := range rank(readers, xxhash.Sum64String(s.self)) {
		if now >= s.distrusted[reader] {
			return reader
		}
	}

	return ""
}

// Distrust records that a reader has not kept this gateway up to date.
func (s *Sourcer) Distrust(reader string, now timekeeper.Millis) {
	for address, until := range s.distrusted {
		if now >= until {
			delete(s.distrusted, address)
		}
	}
	s.distrusted[reader] = now + distrustTime
}

// IsTrusted reports whether an answer shows that a reader keeps this gateway up to date: it came in time, and the store had answered
// the reader a short time before. The time for which this gateway was suspended meanwhile counts as time.
func (s *Sourcer) IsTrusted(silence, elapsed, suspended timekeeper.Millis) bool {
	return silence >= 0 && silence <= s.Timing.MaxSilence && elapsed+suspended <= s.Timing.FollowTimeout
}

// rank returns addresses in their order by rendezvous hashing with a key.
func rank(addresses []string, key uint64) []string {
	score := func(address string) uint64 { return hasher.Mix(key ^ xxhash.Sum64String(address)) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(score(a), score(b)) })

	return addresses
}
