package locator

import "cardamompulley/fleet/model"

// maxPlacements bounds the placements that wait to be told; the oldest are dropped.
const maxPlacements = 512

// Placement says that an endpoint has read a part of a prompt.
type Placement struct {
	Part     uint64
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

// Since returns the placements from a number on, at most so many, and the number to go on from.
func (j *Journal) Since(number uint64, most int) ([]Placement, uint64) {
	at := max(number, j.first)
	rest := j.placements[min(at-j.first, uint64(len(j.placements))):]
	if len(rest) > most {
		rest = rest[:most]
	}

	return append([]Placement(nil), rest...), at + uint64(len(rest))
}
