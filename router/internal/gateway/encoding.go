package gateway

import (
	"encoding/binary"
	"fmt"
	"math"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	partBytes      = 4
	placementBytes = partBytes + balancer.NameHashBytes
	// reportAgeUnit is the unit of a report's age on the wire, where it takes one byte.
	reportAgeUnit = 10 * timekeeper.Millis(1)
)

// peerPlacement is a placement received from another gateway: the endpoint that has processed a part of a prompt.
type peerPlacement struct {
	part     locator.PartHash
	endpoint balancer.NameHash
}

func appendNameHash(b []byte, h balancer.NameHash) []byte {
	return binary.LittleEndian.AppendUint32(b, uint32(h))[:len(b)+balancer.NameHashBytes]
}

func readNameHash(b []byte) balancer.NameHash {
	var padded [4]byte
	copy(padded[:], b[:balancer.NameHashBytes])

	return balancer.NameHash(binary.LittleEndian.Uint32(padded[:]))
}

func encodePlacements(ps []locator.Placement) []byte {
	var encoded []byte
	for _, p := range ps {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(p.Part))
		encoded = appendNameHash(encoded, balancer.HashName(p.Endpoint))
	}

	return encoded
}

func decodePlacements(encoded []byte) []peerPlacement {
	var placements []peerPlacement
	for ; len(encoded) >= placementBytes; encoded = encoded[placementBytes:] {
		placements = append(placements, peerPlacement{
			part:     locator.PartHash(binary.LittleEndian.Uint32(encoded)),
			endpoint: readNameHash(encoded[partBytes:]),
		})
	}

	return placements
}

// appendReport encodes a report. It carries the report's age instead of its time, because the clocks of VMs differ. Age and
// number of running requests take one byte each; larger values are cut to 255.
func appendReport(encoded []byte, r balancer.LoadReport, now timekeeper.Millis) []byte {
	var running []byte
	for _, u := range r.Loads {
		for range min(u.Running, math.MaxUint8-len(running)/balancer.NameHashBytes) {
			running = appendNameHash(running, u.Endpoint)
		}
	}
	age := min(max(now-r.CountedAt, 0)/reportAgeUnit, math.MaxUint8)
	encoded = appendNameHash(encoded, r.Gateway)
	encoded = append(encoded, byte(age), byte(len(running)/balancer.NameHashBytes))

	return append(encoded, running...)
}

// decodeReports decodes reports and stops at the first incomplete one.
func decodeReports(encoded []byte, now timekeeper.Millis) []balancer.LoadReport {
	var reports []balancer.LoadReport
	for len(encoded) >= balancer.LoadReportHeaderBytes {
		r := balancer.LoadReport{
			Gateway:   readNameHash(encoded),
			CountedAt: now - timekeeper.Millis(encoded[balancer.NameHashBytes])*reportAgeUnit,
		}
		running := int(encoded[balancer.NameHashBytes+1])
		encoded = encoded[balancer.LoadReportHeaderBytes:]
		if len(encoded) < running*balancer.NameHashBytes {
			break
		}
		for range running {
			r.Loads = append(r.Loads, balancer.EndpointLoad{Endpoint: readNameHash(encoded), Running: 1})
			encoded = encoded[balancer.NameHashBytes:]
		}
		reports = append(reports, r)
	}

	return reports
}

const (
	// limitAgeUnit is the unit of ages of limit notices.
	limitAgeUnit = 100 * timekeeper.Millis(1)
	// encodedLimitBytes is the size of an encoded limit notice.
	encodedLimitBytes = balancer.NameHashBytes + 1 + 4
	// endedLimit stands for the end of a limit.
	endedLimit = -1
)

// processHash returns the hash that stands for a run of an endpoint.
func processHash(p model.EndpointProcess) balancer.NameHash {
	return balancer.HashName(fmt.Sprintf("%s/%d", p.ID, p.StartedAt))
}

// encodeLimits encodes notices with their ages in place of their times, because the clocks of VMs differ. It leaves out those
// whose age does not fit.
func encodeLimits(notices []budgeter.LimitNotice, now timekeeper.Millis) []byte {
	var encoded []byte
	for _, n := range notices {
		age := max(now-n.At, 0) / limitAgeUnit
		if age > math.MaxUint8 {
			continue
		}
		perSecond := float32(n.PerSecond)
		if !n.IsAdvertised {
			perSecond = endedLimit
		}
		encoded = appendNameHash(encoded, processHash(n.Endpoint))
		encoded = append(encoded, byte(age))
		encoded = binary.LittleEndian.AppendUint32(encoded, math.Float32bits(perSecond))
	}

	return encoded
}

// decodeLimits decodes notices of known endpoints, which it looks up by their hashes. It stops at an incomplete notice and
// leaves out unknown endpoints and numbers that are no limits.
func decodeLimits(encoded []byte, known map[balancer.NameHash]model.EndpointProcess, now timekeeper.Millis) []budgeter.LimitNotice {
	var notices []budgeter.LimitNotice
	for ; len(encoded) >= encodedLimitBytes; encoded = encoded[encodedLimitBytes:] {
		p, isKnown := known[readNameHash(encoded)]
		age := timekeeper.Millis(encoded[balancer.NameHashBytes]) * limitAgeUnit
		perSecond := float64(math.Float32frombits(binary.LittleEndian.Uint32(encoded[balancer.NameHashBytes+1:])))
		if !isKnown || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
			continue
		}
		notices = append(notices, budgeter.LimitNotice{
			Endpoint: p, PerSecond: max(perSecond, 0), IsAdvertised: perSecond >= 0, At: now - age,
		})
	}

	return notices
}
