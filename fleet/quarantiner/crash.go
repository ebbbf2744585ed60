package quarantiner

import (
	"cmp"
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// jointWindow is the time within which jointCrashes crashes are one event that no single request or prompt part explains: endpoints
	// of a failure domain or a service that go together.
	jointWindow  = 150 * timekeeper.Millis(1)
	jointCrashes = 4
)

// crash is a crash that counts against a suspect, or a joint event.
type crash struct {
	// id is that of one of the crashes of a joint event.
	id CrashID
	// at is valid if hasTime is true; processes of earlier versions do not tell it. That of a joint event is its first crash.
	at      timekeeper.Millis
	hasTime bool
	// isJoint is true for a joint event.
	isJoint bool
}

// isNear reports whether two crashes happened within jointWindow of each other.
func (c crash) isNear(other crash) bool {
	return c.hasTime && other.hasTime && max(c.at-other.at, other.at-c.at) < jointWindow
}

// addCrash counts a crash or a joint event and reports whether that has changed anything.
func (r *suspectRecord) addCrash(c crash) bool {
	isCovered := func(known crash) bool {
		return known.isJoint && known.isNear(c) || known.id == c.id && (known.isJoint || !c.isJoint)
	}
	if slices.ContainsFunc(r.crashes, isCovered) {
		return false
	}
	if c.isJoint {
		r.crashes = slices.DeleteFunc(r.crashes, func(known crash) bool { return known.isNear(c) || known.id == c.id })

		return r.insert(c)
	}
	event := r.jointEvent(c)
	if event == nil {
		return r.insert(c)
	}

	return r.addCrash(*event)
}

// insert keeps the crashes sorted by ID. It returns false if there is no room.
func (r *suspectRecord) insert(c crash) bool {
	if len(r.crashes) >= maxCrashesPerSuspect {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c.id, func(known crash, id CrashID) int { return cmp.Compare(known.id, id) })
	r.crashes = slices.Insert(r.crashes, i, c)

	return true
}

// jointEvent returns the event that a crash makes up together with others, nil if it does not.
func (r *suspectRecord) jointEvent(c crash) *crash {
	near := []crash{c}
	for _, known := range r.crashes {
		if known.isNear(c) {
			near = append(near, known)
		}
	}
	slices.SortFunc(near, func(x, y crash) int { return cmp.Compare(x.at, y.at) })
	for i := 0; i+jointCrashes <= len(near); i++ {
		if near[i].isNear(near[i+jointCrashes-1]) {
			return &crash{id: near[i].id, at: near[i].at, hasTime: true, isJoint: true}
		}
	}

	return nil
}

// count returns the number of crashes, of which a joint event has jointCrashes at least.
func (r *suspectRecord) count() int {
	count := 0
	for _, c := range r.crashes {
		if c.isJoint {
			count += jointCrashes
		} else {
			count++
		}
	}

	return count
}
