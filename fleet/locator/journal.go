package locator

import "cardamompulley/fleet/model"

// maxPlacements bounds the placements that wait to be told; the oldest are dropped.
const maxPlacements = 512

// Placement says that an endpoint has read a part of a prompt.
type Placement struct {
	Part     PartCode
	Endpoint model.EndpointID
}

// Journal holds the newest placements of one process for the others, each under a running number.
type Journal struct {
	placements []Placement
	first      uint64
}

// Add appends a placement.
func (j *Journal) Add(p Placement) {
	j.placements = append(j.placements, p)
	if over := len(j.placements) - maxPlacements; over > 0 {
		j.placements = append(j.placements[:0], j.placements[over:]...)
		j.first += uint64(over)
	}
}

// Since returns the placements from a number on, the newest if there are more than so many, and the number to go on from.
func (j *Journal) Since(number uint64, most int) ([]Placement, uint64) {
	end := j.first + uint64(len(j.placements))
	at := min(max(number, j.first), end)
	if end-at > uint64(most) {
		at = end - uint64(most)
	}

	return append([]Placement(nil), j.placements[at-j.first:]...), end
}
