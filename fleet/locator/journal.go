package locator

import "cardamompulley/fleet/model"

// maxPlacements bounds the journal; the oldest placements are dropped.
const maxPlacements = 512

// Placement records that an endpoint has processed a prompt part.
type Placement struct {
	Part     PartHash
	Endpoint model.EndpointID
}

// Journal holds the newest placements made by this process, numbered consecutively, for exchange with other gateways.
type Journal struct {
	placements    []Placement
	firstSequence uint64
}

// Add appends a placement and drops the oldest ones beyond maxPlacements.
func (j *Journal) Add(p Placement) {
	j.placements = append(j.placements, p)
	if excess := len(j.placements) - maxPlacements; excess > 0 {
		j.placements = append(j.placements[:0], j.placements[excess:]...)
		j.firstSequence += uint64(excess)
	}
}

// Since returns the placements from a sequence number on and the sequence number to continue from. If more than limit
// placements match, it returns the newest ones.
func (j *Journal) Since(sequence uint64, limit int) ([]Placement, uint64) {
	end := j.firstSequence + uint64(len(j.placements))
	start := min(max(sequence, j.firstSequence), end)
	if end-start > uint64(limit) {
		start = end - uint64(limit)
	}

	return append([]Placement(nil), j.placements[start-j.firstSequence:]...), end
}
