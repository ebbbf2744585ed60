package sloper

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/holder"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func tableMemory() (Slope, error) {
	return slopeOf("load table", "bytes a process, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		bytes := heapOf(func() any { return busyTable(s) })
		runtime.KeepAlive(s)

		return bytes, err
	})
}

func accountMemory() (Slope, error) {
	return slopeOf("accounts in a router", "bytes, by accounts", accountSizes, Accounts, func(size int) (float64, error) {
		p, err := configurator.EncodeVersion(1, document(10, size))
		if err != nil {
			return 0, err
		}
		var built *configurator.Snapshot
		kept := heapOf(func() any {
			built, err = configurator.NewSnapshot(p.Manifest, p.Values, configurator.AllParts)

			return built
		})
		raw := 0
		for _, v := range p.Values {
			raw += len(v)
		}

		return kept + float64(raw), err
	})
}

func accountShardBytes() (Slope, error) {
	return slopeOf("one account shard", "bytes, by accounts", accountSizes, Accounts, func(size int) (float64, error) {
		p, err := configurator.EncodeVersion(1, document(10, size))
		if err != nil {
			return 0, err
		}
		total := 0
		for _, v := range p.Values {
			total += len(v)
		}

		return float64(total) / float64(len(p.Values)), nil
	})
}

func fleetPart(size int) ([]byte, error) {
	raw, err := json.Marshal(document(size, 0).Fleet)
	if err != nil {
		return nil, fmt.Errorf("sloper: fleet part: %w", err)
	}

	return raw, nil
}

func fleetPartBytes() (Slope, error) {
	return slopeOf("fleet part", "bytes, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		raw, err := fleetPart(size)

		return float64(len(raw)), err
	})
}

func fleetPartWire() (Slope, error) {
	return slopeOf("fleet part, gzip", "bytes on the wire, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		raw, err := fleetPart(size)
		if err != nil {
			return 0, err
		}
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		if _, err := z.Write(raw); err != nil {
			return 0, fmt.Errorf("sloper: gzip: %w", err)
		}
		if err := z.Close(); err != nil {
			return 0, fmt.Errorf("sloper: gzip: %w", err)
		}

		return float64(packed.Len()), nil
	})
}

func directoryMemory() (Slope, error) {
	return slopeOf("holder directory", "bytes a sidecar, by chats", chatSizes, ChatsPerHome, func(size int) (float64, error) {
		return heapOf(func() any {
			d, err := holder.NewDirectory(size)
			if err != nil {
				return nil
			}
			for n := range size {
				d.Record(model.ChatKey(n+1), "runner-0001")
				d.Record(model.ChatKey(n+1), "runner-0002")
			}

			return d
		}), nil
	})
}

func keyMemory() (Slope, error) {
	const answerBytes = 200

	return slopeOf("key records", "bytes a sidecar, by keys", chatSizes, deduplicator.DefaultMaxRecords, func(size int) (float64, error) {
		return heapOf(func() any { return filledTable(size, answerBytes) }), nil
	})
}

var homes = []model.HomeGeneration{{Number: 1, Endpoints: []model.EndpointID{"self"}}}

func filledTable(size, answerBytes int) *deduplicator.Deduplicator {
	clock := timekeeper.NewManualClock(timekeeper.Hour)
	d := deduplicator.NewDeduplicator("self", clock.Clock())
	clock.Advance(timekeeper.Hour)
	for n := range size {
		beginKey(d, n, answerBytes)
	}

	return d
}

func beginKey(d *deduplicator.Deduplicator, n, answerBytes int) {
	k := deduplicator.Key{Account: "a", Service: serviceID, Key: model.IdempotencyKey(fmt.Sprintf("key-%032d", n))}
	d.Begin(k, model.Digest(n), homes, deduplicator.Policy{ResendWindow: timekeeper.Minute, Retention: timekeeper.Hour})
	d.FinishRan(k, deduplicator.Answer{Status: 201, Body: make([]byte, answerBytes)})
}
