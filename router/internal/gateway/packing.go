package gateway

import (
	"encoding/binary"
	"math"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/timekeeper"
)

const (
	partBytes      = 4
	placementBytes = partBytes + balancer.CodeBytes
	// ageUnit is the unit of the age of a report.
	ageUnit = 10 * timekeeper.Millis(1)
)

// toldPlacement is a placement as another gateway tells it.
type toldPlacement struct {
	part     locator.PartHash
	endpoint balancer.Code
}

func appendCode(b []byte, c balancer.Code) []byte {
	return binary.LittleEndian.AppendUint32(b, uint32(c))[:len(b)+balancer.CodeBytes]
}

func readCode(b []byte) balancer.Code {
	var whole [4]byte
	copy(whole[:], b[:balancer.CodeBytes])

	return balancer.Code(binary.LittleEndian.Uint32(whole[:]))
}

func encodePlacements(ps []locator.Placement) []byte {
	var packed []byte
	for _, p := range ps {
		packed = binary.LittleEndian.AppendUint32(packed, uint32(p.Part))
		packed = appendCode(packed, balancer.CodeOf(p.Endpoint))
	}

	return packed
}

func decodePlacements(packed []byte) []toldPlacement {
	var placements []toldPlacement
	for ; len(packed) >= placementBytes; packed = packed[placementBytes:] {
		placements = append(placements, toldPlacement{
			part:     locator.PartHash(binary.LittleEndian.Uint32(packed)),
			endpoint: readCode(packed[partBytes:]),
		})
	}

	return placements
}

// appendReport packs a report, told by its age, since the clocks of VMs differ.
func appendReport(packed []byte, r balancer.Report, now timekeeper.Millis) []byte {
	var running []byte
	for _, u := range r.Uses {
		for range min(u.Running, math.MaxUint8-len(running)/balancer.CodeBytes) {
			running = appendCode(running, u.Endpoint)
		}
	}
	age := min(max(now-r.At, 0)/ageUnit, math.MaxUint8)
	packed = appendCode(packed, r.Gateway)
	packed = append(packed, byte(age), byte(len(running)/balancer.CodeBytes))

	return append(packed, running...)
}

// decodeReports returns the whole reports that packed bytes begin with.
func decodeReports(packed []byte, now timekeeper.Millis) []balancer.Report {
	var reports []balancer.Report
	for len(packed) >= balancer.ReportBytes {
		r := balancer.Report{Gateway: readCode(packed), At: now - timekeeper.Millis(packed[balancer.CodeBytes])*ageUnit}
		running := int(packed[balancer.CodeBytes+1])
		packed = packed[balancer.ReportBytes:]
		if len(packed) < running*balancer.CodeBytes {
			break
		}
		for range running {
			r.Uses = append(r.Uses, balancer.Use{Endpoint: readCode(packed), Running: 1})
			packed = packed[balancer.CodeBytes:]
		}
		reports = append(reports, r)
	}

	return reports
}
