package sloper

import (
	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/timekeeper"
)

func placementTime() (Measurement, error) {
	return measureAtSizes("one placement", "ns, by runners", endpointCounts, TargetEndpoints, func(endpointCount int) (float64, error) {
		s, err := newSnapshot(endpointCount)
		if err != nil {
			return 0, err
		}
		g := placer.NewGroup(s, placer.GroupKey{Service: serviceID, Model: modelID})
		p := placer.NewPlacer("domain-0", newLoadTable(s))

		return nanosPerCall(callsPerRepeat, func(n int) {
			p.Choose(g, &placer.Request{Chat: model.ChatKey(n + 1), Hint: placer.NoMember})
		}), nil
	})
}

func meanLoadTime() (Measurement, error) {
	return measureAtSizes("one load bound", "ns, by runners", endpointCounts, TargetEndpoints, func(endpointCount int) (float64, error) {
		s, err := newSnapshot(endpointCount)
		if err != nil {
			return 0, err
		}
		g := placer.NewGroup(s, placer.GroupKey{Service: serviceID, Model: modelID})
		p := placer.NewPlacer("domain-0", newLoadTable(s))

		return nanosPerCall(callsPerRepeat, func(int) { p.MeanLoad(g) }), nil
	})
}

func vectorMergeTime() (Measurement, error) {
	return measureAtSizes("encode and merge one vector", "ns, by runners", endpointCounts, TargetEndpoints,
		func(endpointCount int) (float64, error) {
			s, err := newSnapshot(endpointCount)
			if err != nil {
				return 0, err
			}
			sender, receiver := newLoadTable(s), newLoadTable(s)
			buffer := make([]byte, 0, 2*endpointCount)

			return nanosPerCall(callsPerRepeat, func(n int) {
				_ = receiver.Merge(sender.Encode(timekeeper.Millis(5000+n), buffer), timekeeper.Millis(5000+n))
			}), nil
		})
}

func configurationBuildTime() (Measurement, error) {
	return measureAtSizes("check and build a configuration", "ns, by accounts", accountCounts, TargetAccounts,
		func(accountCount int) (float64, error) {
			version, err := configurator.EncodeVersion(1, newDocument(TargetEndpoints, accountCount))
			if err != nil {
				return 0, err
			}

			return nanosPerCall(3, func(int) {
				_, err = configurator.NewSnapshot(version.Manifest, version.Values, configurator.AllParts)
			}), err
		})
}

func shardUpdateTime() (Measurement, error) {
	return measureAtSizes("put one changed shard in force", "ns, by accounts", accountCounts, TargetAccounts,
		func(accountCount int) (float64, error) {
			document := newDocument(TargetEndpoints, accountCount)
			oldVersion, err := configurator.EncodeVersion(1, document)
			if err != nil {
				return 0, err
			}
			document.Accounts["account-00000"] = model.Account{TokenSHA256: document.Accounts["account-00000"].TokenSHA256, Weight: 2}
			newVersion, err := configurator.EncodeVersion(2, document)
			if err != nil {
				return 0, err
			}
			previous, err := configurator.NewSnapshot(oldVersion.Manifest, oldVersion.Values, configurator.AllParts)
			if err != nil {
				return 0, err
			}

			return nanosPerCall(3, func(int) {
				_, err = configurator.NewSnapshotFrom(previous, newVersion.Manifest, newVersion.Values, configurator.AllParts)
			}), err
		})
}

func fleetPartBuildTime() (Measurement, error) {
	return measureAtSizes("check and build the fleet part", "ns, by runners", endpointCounts, TargetEndpoints,
		func(endpointCount int) (float64, error) {
			version, err := configurator.EncodeVersion(1, newDocument(endpointCount, 0))
			if err != nil {
				return 0, err
			}

			return nanosPerCall(3, func(int) {
				_, err = configurator.NewSnapshot(version.Manifest, version.Values, configurator.OnlyFleetPart)
			}), err
		})
}

func admissionTime() (Measurement, error) {
	return measureAtSizes("one admission", "ns, by running", []float64{8, 16, 32}, 64, func(runningCount int) (float64, error) {
		a := admitter.NewAdmitter(admitter.NewLimiter(2*runningCount, admitter.LatencyTargets{}))
		for a.Limiter.IsCold() {
			a.Limiter.Observe(admitter.Sample{FirstToken: 40})
		}
		for range runningCount {
			a.Admit(admitter.Request{Account: "a"}, 2*runningCount, 0)
		}

		return nanosPerCall(100*callsPerRepeat, func(n int) {
			a.Admit(admitter.Request{Account: "a"}, 2*runningCount, timekeeper.Millis(n))
			a.Finish(admitter.Sample{FirstToken: 40, ServiceTime: 2000})
		}), nil
	})
}

func keyRecordTime() (Measurement, error) {
	return measureAtSizes("one key begun and finished", "ns, by keys held", recordCounts, deduplicator.DefaultMaxRecords,
		func(keyCount int) (float64, error) {
			d := newFilledDeduplicator(keyCount, 0)

			return nanosPerCall(callsPerRepeat, func(n int) { beginAndFinishKey(d, keyCount+n, 0) }), nil
		})
}
