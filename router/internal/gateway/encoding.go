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
	// reportAgeUnit is the unit of a report's age on the wire, where it takes one byte.
	reportAgeUnit = 10 * timekeeper.Millis(1)
)

// peerPlacement is a placement received from another gateway: the endpoint that has processed a part of a prompt.
type peerPlacement struct {
	part     locator.PartHash
	endpoint balancer.Code
}

func appendCode(b []byte, c balancer.Code) []byte {
	return binary.LittleEndian.AppendUint32(b, uint32(c))[:len(b)+balancer.CodeBytes]
}

func readCode(b []byte) balancer.Code {
	var padded [4]byte
	copy(padded[:], b[:balancer.CodeBytes])

	return balancer.Code(binary.LittleEndian.Uint32(padded[:]))
}

func encodePlacements(ps []locator.Placement) []byte {
	var encoded []byte
	for _, p := range ps {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(p.Part))
		encoded = appendCode(encoded, balancer.CodeOf(p.Endpoint))
	}

	return encoded
}

func decodePlacements(encoded []byte) []peerPlacement {
	var placements []peerPlacement
	for ; len(encoded) >= placementBytes; encoded = encoded[placementBytes:] {
		placements = append(placements, peerPlacement{
			part:     locator.PartHash(binary.LittleEndian.Uint32(encoded)),
			endpoint: readCode(encoded[partBytes:]),
		})
	}

	return placements
}

// appendReport encodes a report. It carries the report's age instead of its time, because the clocks of VMs differ. Age and
// number of running requests take one byte each; larger values are cut to 255.
func appendReport(encoded []byte, r balancer.Report, now timekeeper.Millis) []byte {
	var running []byte
	for _, u := range r.Uses {
		for range min(u.Running, math.MaxUint8-len(running)/balancer.CodeBytes) {
			running = appendCode(running, u.Endpoint)
		}
	}
	age := min(max(now-r.At, 0)/reportAgeUnit, math.MaxUint8)
	encoded = appendCode(encoded, r.Gateway)
	encoded = append(encoded, byte(age), byte(len(running)/balancer.CodeBytes))

	return append(encoded, running...)
}

// decodeReports decodes reports and stops at the first incomplete one.
func decodeReports(encoded []byte, now timekeeper.Millis) []balancer.Report {
	var reports []balancer.Report
	for len(encoded) >= balancer.ReportBytes {
		r := balancer.Report{Gateway: readCode(encoded), At: now - timekeeper.Millis(encoded[balancer.CodeBytes])*reportAgeUnit}
		running := int(encoded[balancer.CodeBytes+1])
		encoded = encoded[balancer.ReportBytes:]
		if len(encoded) < running*balancer.CodeBytes {
			break
		}
		for range running {
			r.Uses = append(r.Uses, balancer.Use{Endpoint: readCode(encoded), Running: 1})
			encoded = encoded[balancer.CodeBytes:]
		}
		reports = append(reports, r)
	}

	return reports
}
