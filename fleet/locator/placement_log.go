package locator

import "cardamompulley/fleet/model"

// maxPlacements is the maximum length of a placement log; the oldest placements are dropped.
const maxPlacements = 512

// Placement records that an endpoint has processed a prompt part.
type Placement struct {
	Part     PartHash
	Endpoint model.EndpointID
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

// Since returns the placements from a sequence number on and the sequence number to continue from. If more than limit
// placements match, it returns the newest ones.
func (l *PlacementLog) Since(sequence uint64, limit int) ([]Placement, uint64) {
	end := l.firstSequence + uint64(len(l.placements))
	start := min(max(sequence, l.firstSequence), end)
	if end-start > uint64(limit) {
		start = end - uint64(limit)
	}

	return append([]Placement(nil), l.placements[start-l.firstSequence:]...), end
}
