package locator

import (
	"cmp"
	"slices"

	"cardamompulley/fleet/model"
)

// maxPlacements is the maximum length of a placement log; the oldest placements are dropped.
const maxPlacements = 512

// Placement records that an endpoint has processed a prompt part.
type Placement struct {
	Part     PartHash
	Endpoint model.EndpointID
	// Tokens is the length of the part: what a gateway that does not know the placement may have processed again.
	Tokens model.Tokens
}

// PlacementLog holds the newest placements made by this process, numbered consecutively, for exchange with other gateways.
type PlacementLog struct {
	placements    []Placement
	firstSequence uint64
}

// Add appends a placement and drops the oldest ones beyond maxPlacements.
func (l *PlacementLog) Add(p Placement) {
	l.placements = append(l.placements, p)
	if excess := len(l.placements) - maxPlacements; excess > 0 {
		l.placements = append(l.placements[:0], l.placements[excess:]...)
		l.firstSequence += uint64(excess)
	}
}

// Withdraw removes a placement that has turned out to be wrong. Who has been told of it is not told of the withdrawal.
func (l *PlacementLog) Withdraw(part PartHash, id model.EndpointID) {
	for i := range l.placements {
		if p := &l.placements[i]; p.Part == part && p.Endpoint == id {
			*p = Placement{}
		}
	}
}

// Since returns the placements from a sequence number on and the sequence number to continue from. If more than limit
// placements match, it returns those of the longest parts, the newest ones among equals.
func (l *PlacementLog) Since(sequence uint64, limit int) ([]Placement, uint64) {
	end := l.firstSequence + uint64(len(l.placements))
	start := min(max(sequence, l.firstSequence), end)
	unsent := slices.Clone(l.placements[start-l.firstSequence:])
	unsent = slices.DeleteFunc(unsent, func(p Placement) bool { return p == Placement{} })

	return longestParts(unsent, limit), end
}

// longestParts returns the placements of the longest parts in their order, limit at most.
func longestParts(ps []Placement, limit int) []Placement {
	if len(ps) <= limit {
		return ps
	}
	indexes := make([]int, len(ps))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(i, j int) int {
		return cmp.Or(cmp.Compare(ps[j].Tokens, ps[i].Tokens), cmp.Compare(j, i))
	})
	indexes = indexes[:limit]
	slices.Sort(indexes)
	longest := make([]Placement, 0, limit)
	for _, i := range indexes {
		longest = append(longest, ps[i])
	}

	return longest
}
