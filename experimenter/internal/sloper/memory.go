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

func loadTableMemory() (Measurement, error) {
	return measureAtSizes("load table", "bytes a process, by runners", endpointCounts, TargetEndpoints,
		func(endpointCount int) (float64, error) {
			s, err := newSnapshot(endpointCount)
			// The snapshot must stay reachable; if it were collected during the measurement, its size would be subtracted.
			tableBytes := retainedHeapBytes(func() any { return newLoadTable(s) })
			runtime.KeepAlive(s)

			return tableBytes, err
		})
}

// accountMemory measures the snapshot and the encoded values, both of which a router keeps. The values are allocated before
// the heap is measured, so their size is added.
func accountMemory() (Measurement, error) {
	return measureAtSizes("accounts in a router", "bytes, by accounts", accountCounts, TargetAccounts,
		func(accountCount int) (float64, error) {
			version, err := configurator.EncodeVersion(1, newDocument(10, accountCount))
			if err != nil {
				return 0, err
			}
			var snapshot *configurator.Snapshot
			snapshotBytes := retainedHeapBytes(func() any {
				snapshot, err = configurator.NewSnapshot(version.Manifest, version.Values, configurator.AllParts)

				return snapshot
			})
			valueBytes := 0
			for _, v := range version.Values {
				valueBytes += len(v)
			}

			return snapshotBytes + float64(valueBytes), err
		})
}

// accountShardSize measures the mean size of the encoded values of a configuration.
func accountShardSize() (Measurement, error) {
	return measureAtSizes("one account shard", "bytes, by accounts", accountCounts, TargetAccounts, func(accountCount int) (float64, error) {
		version, err := configurator.EncodeVersion(1, newDocument(10, accountCount))
		if err != nil {
			return 0, err
		}
		valueBytes := 0
		for _, v := range version.Values {
			valueBytes += len(v)
		}

		return float64(valueBytes) / float64(len(version.Values)), nil
	})
}

func encodeFleetPart(endpointCount int) ([]byte, error) {
	encoded, err := json.Marshal(newDocument(endpointCount, 0).Fleet)
	if err != nil {
		return nil, fmt.Errorf("sloper: encode fleet part: %w", err)
	}

	return encoded, nil
}

func fleetPartSize() (Measurement, error) {
	return measureAtSizes("fleet part", "bytes, by runners", endpointCounts, TargetEndpoints, func(endpointCount int) (float64, error) {
		encoded, err := encodeFleetPart(endpointCount)

		return float64(len(encoded)), err
	})
}

func compressedFleetPartSize() (Measurement, error) {
	return measureAtSizes("fleet part, gzip", "bytes on the wire, by runners", endpointCounts, TargetEndpoints,
		func(endpointCount int) (float64, error) {
			encoded, err := encodeFleetPart(endpointCount)
			if err != nil {
				return 0, err
			}
			var compressed bytes.Buffer
			writer := gzip.NewWriter(&compressed)
			if _, err := writer.Write(encoded); err != nil {
				return 0, fmt.Errorf("sloper: compress fleet part: %w", err)
			}
			if err := writer.Close(); err != nil {
				return 0, fmt.Errorf("sloper: compress fleet part: %w", err)
			}

			return float64(compressed.Len()), nil
		})
}

func holderDirectoryMemory() (Measurement, error) {
	return measureAtSizes("holder directory", "bytes a sidecar, by chats", recordCounts, TargetChatsPerEndpoint,
		func(chatCount int) (float64, error) {
			return retainedHeapBytes(func() any {
				d, err := holder.NewDirectory(chatCount)
				if err != nil {
					return nil
				}
				for n := range chatCount {
					d.Record(model.ChatKey(n+1), "runner-0001")
					d.Record(model.ChatKey(n+1), "runner-0002")
				}

				return d
			}), nil
		})
}

func keyRecordMemory() (Measurement, error) {
	const responseBytes = 200

	return measureAtSizes("key records", "bytes a sidecar, by keys", recordCounts, deduplicator.DefaultMaxRecords,
		func(keyCount int) (float64, error) {
			return retainedHeapBytes(func() any { return newFilledDeduplicator(keyCount, responseBytes) }), nil
		})
}

var homeGenerations = []model.HomeGeneration{{Number: 1, Endpoints: []model.EndpointID{"self"}}}

// newFilledDeduplicator returns a deduplicator with finished keys. Its clock advances past the resend window first, since
// until then it refuses keys without a creation time, which may have run before its start.
func newFilledDeduplicator(keyCount, responseBytes int) *deduplicator.Deduplicator {
	clock := timekeeper.NewManualClock(timekeeper.Hour)
	d := deduplicator.NewDeduplicator("self", clock.Clock())
	clock.Advance(timekeeper.Hour)
	for n := range keyCount {
		beginAndFinishKey(d, n, responseBytes)
	}

	return d
}

func beginAndFinishKey(d *deduplicator.Deduplicator, n, responseBytes int) {
	k := deduplicator.Key{Account: "a", Service: serviceID, Key: model.IdempotencyKey(fmt.Sprintf("key-%032d", n))}
	d.Begin(k, model.Digest(n), homeGenerations, deduplicator.Policy{ResendWindow: timekeeper.Minute, Retention: timekeeper.Hour})
	d.FinishRan(k, deduplicator.StoredResponse{Status: 201, Body: make([]byte, responseBytes)})
}
