package sloper

import (
	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/timekeeper"
)

func placementTime() (Slope, error) {
	return slopeOf("one placement", "ns, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		g := placer.NewGroup(s, placer.GroupKey{Service: serviceID, Model: modelID})
		p := placer.NewPlacer("domain-0", busyTable(s))

		return nanosOf(rounds, func(n int) {
			p.Choose(g, &placer.Request{Chat: model.ChatKey(n + 1), Hint: placer.NoMember})
		}), nil
	})
}

func meanTime() (Slope, error) {
	return slopeOf("one load bound", "ns, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		g := placer.NewGroup(s, placer.GroupKey{Service: serviceID, Model: modelID})
		p := placer.NewPlacer("domain-0", busyTable(s))

		return nanosOf(rounds, func(int) { p.MeanLoad(g) }), nil
	})
}

func mergeTime() (Slope, error) {
	return slopeOf("encode and merge one vector", "ns, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		s, err := snapshotOf(size)
		if err != nil {
			return 0, err
		}
		a, b := busyTable(s), busyTable(s)
		buffer := make([]byte, 0, 2*size)

		return nanosOf(rounds, func(n int) {
			_ = b.Merge(a.Encode(timekeeper.Millis(5000+n), buffer), timekeeper.Millis(5000+n))
		}), nil
	})
}

func snapshotTime() (Slope, error) {
	return slopeOf("check and build a configuration", "ns, by accounts", accountSizes, Accounts, func(size int) (float64, error) {
		p, err := configurator.EncodeVersion(1, document(Runners, size))
		if err != nil {
			return 0, err
		}

		return nanosOf(3, func(int) {
			_, err = configurator.NewSnapshot(p.Manifest, p.Values, configurator.AllParts)
		}), err
	})
}

func changeTime() (Slope, error) {
	return slopeOf("put one changed shard in force", "ns, by accounts", accountSizes, Accounts, func(size int) (float64, error) {
		d := document(Runners, size)
		before, err := configurator.EncodeVersion(1, d)
		if err != nil {
			return 0, err
		}
		d.Accounts["account-00000"] = model.Account{TokenSHA256: d.Accounts["account-00000"].TokenSHA256, Weight: 2}
		after, err := configurator.EncodeVersion(2, d)
		if err != nil {
			return 0, err
		}
		old, err := configurator.NewSnapshot(before.Manifest, before.Values, configurator.AllParts)
		if err != nil {
			return 0, err
		}

		return nanosOf(3, func(int) {
			_, err = configurator.NewSnapshotFrom(old, after.Manifest, after.Values, configurator.AllParts)
		}), err
	})
}

func fleetSnapshotTime() (Slope, error) {
	return slopeOf("check and build the fleet part", "ns, by runners", runnerSizes, Runners, func(size int) (float64, error) {
		p, err := configurator.EncodeVersion(1, document(size, 0))
		if err != nil {
			return 0, err
		}

		return nanosOf(3, func(int) {
			_, err = configurator.NewSnapshot(p.Manifest, p.Values, configurator.OnlyFleetPart)
		}), err
	})
}

func admissionTime() (Slope, error) {
	return slopeOf("one admission", "ns, by running", []float64{8, 16, 32}, 64, func(size int) (float64, error) {
		a := admitter.NewAdmitter(admitter.NewLimiter(2*size, admitter.LatencyTargets{}))
		for a.Limiter.IsCold() {
			a.Limiter.Observe(admitter.Sample{FirstToken: 40})
		}
		for range size {
			a.Admit(admitter.Request{Account: "a"}, 2*size, 0)
		}

		return nanosOf(100*rounds, func(n int) {
			a.Admit(admitter.Request{Account: "a"}, 2*size, timekeeper.Millis(n))
			a.Finish(admitter.Sample{FirstToken: 40, ServiceTime: 2000})
		}), nil
	})
}

func keyTime() (Slope, error) {
	return slopeOf("one key begun and finished", "ns, by keys held", chatSizes, deduplicator.DefaultMaxRecords, func(size int) (float64, error) {
		d := filledTable(size, 0)

		return nanosOf(rounds, func(n int) { beginKey(d, size+n, 0) }), nil
	})
}
