package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// recordLifetime is how long crashes count against a suspect after the latest of them has become known.
	recordLifetime = 10 * timekeeper.Minute
	// maxSuspects limits the suspects that a process remembers. Those with the fewest crashes make room.
	maxSuspects = 4096
	// maxCrashesPerSuspect limits the crashes remembered for a suspect. It is above every threshold.
	maxCrashesPerSuspect = 8
)

// suspectRecord holds the crashes of a suspect, or that it is trusted: then it has none.
type suspectRecord struct {
	// crashes is sorted by ID; a joint event stands for its crashes.
	crashes   []crash
	expiresAt timekeeper.Millis
	changedAt timekeeper.Millis
	// timesShared is how often the record has been shared since it changed.
	timesShared int
}

// SuspectTable holds the crashes counted against suspects, by this process and by those that it hears from. A crash counts once
// however many processes report it, and the crashes that different processes report add up. A whole answer at any process clears
// a suspect at all of them, and keeps it clear while it is trusted. SuspectTable is not safe for concurrent use.
type SuspectTable struct {
	// IgnoresTimes makes each crash an event.
	IgnoresTimes bool

	records  map[SuspectID]*suspectRecord
	answered *answerMemory
}

// NewSuspectTable returns an empty table.
func NewSuspectTable() *SuspectTable {
	return &SuspectTable{records: map[SuspectID]*suspectRecord{}, answered: newAnswerMemory()}
}

// Crashes returns the number of crashes that count against a suspect.
func (t *SuspectTable) Crashes(s SuspectID, now timekeeper.Millis) int {
	if r := t.live(s, now); r != nil {
		return r.count()
	}

	return 0
}

// ExpiresIn returns how long the crashes of a suspect still count.
func (t *SuspectTable) ExpiresIn(s SuspectID, now timekeeper.Millis) timekeeper.Millis {
	if r := t.live(s, now); r != nil {
		return r.expiresAt - now
	}

	return 0
}

// QuarantinedFor returns how long a request is still quarantined by the guards of endpoints, zero if it is not.
func (t *SuspectTable) QuarantinedFor(f model.Fingerprint, now timekeeper.Millis) timekeeper.Millis {
	if t.Crashes(SuspectID(f), now) < QuarantineThreshold {
		return 0
	}

	return t.ExpiresIn(SuspectID(f), now)
}

// Events returns the number of events that count against a suspect: many crashes at the same moment are one.
func (t *SuspectTable) Events(s SuspectID, now timekeeper.Millis) int {
	if r := t.live(s, now); r != nil {
		return len(r.crashes)
	}

	return 0
}

// Add counts a crash that has just happened against a suspect; see AddAt.
func (t *SuspectTable) Add(s SuspectID, c CrashID, now timekeeper.Millis) bool {
	return t.AddAt(s, c, now, now)
}

// AddAt counts a crash against a suspect and reports whether it was not counted yet. It counts none against a trusted suspect.
func (t *SuspectTable) AddAt(s SuspectID, c CrashID, at, now timekeeper.Millis) bool {
	if t.trustedFor(s, now) > 0 {
		return false
	}

	return t.addCrashes(s, []crash{{id: c, at: at, hasTime: true}}, recordLifetime, now)
}

// RecordAnswer records that a request with a suspect was answered in whole, and returns the number of crashes that counted
// against the suspect until then.
func (t *SuspectTable) RecordAnswer(s SuspectID, now timekeeper.Millis) int {
	t.answered.record(s, now)
	crashes := t.Crashes(s, now)
	if crashes > 0 {
		t.trust(s, trustDuration, now)
	}

	return crashes
}

func (t *SuspectTable) live(s SuspectID, now timekeeper.Millis) *suspectRecord {
	r, ok := t.records[s]
	if !ok || r.expiresAt <= now {
		return nil
	}

	return r
}

// trustedFor returns how long a suspect is still trusted, zero if it is not.
func (t *SuspectTable) trustedFor(s SuspectID, now timekeeper.Millis) timekeeper.Millis {
	trusted := t.answered.trustedFor(s, now)
	if r := t.live(s, now); r != nil && len(r.crashes) == 0 {
		trusted = max(trusted, r.expiresAt-now)
	}

	return trusted
}

// trust clears a suspect and keeps it clear for a time. It reports whether crashes counted against the suspect.
func (t *SuspectTable) trust(s SuspectID, duration, now timekeeper.Millis) bool {
	r := t.live(s, now)
	if r != nil && len(r.crashes) == 0 {
		r.expiresAt = max(r.expiresAt, now+duration)

		return false
	}
	t.put(s, &suspectRecord{expiresAt: now + duration, changedAt: now}, now)

	return r != nil
}

// addCrashes counts crashes against a suspect and reports whether any was not counted yet.
func (t *SuspectTable) addCrashes(s SuspectID, crashes []crash, expiresIn, now timekeeper.Millis) bool {
	r := t.live(s, now)
	if r == nil {
		r = &suspectRecord{}
	}
	hasChanged := false
	for _, c := range crashes {
		c.hasTime = c.hasTime && !t.IgnoresTimes
		hasChanged = r.addCrash(c) || hasChanged
	}
	if !hasChanged {
		return false
	}
	r.expiresAt = max(r.expiresAt, now+expiresIn)
	r.changedAt = now
	r.timesShared = 0
	t.put(s, r, now)

	return true
}

// put stores a record unless the table stays full after eviction and does not hold the suspect yet.
func (t *SuspectTable) put(s SuspectID, r *suspectRecord, now timekeeper.Millis) {
	if _, ok := t.records[s]; !ok && len(t.records) >= maxSuspects {
		t.evict(now)
		if len(t.records) >= maxSuspects {
			return
		}
	}
	t.records[s] = r
}

// evict deletes expired records and, if that is not enough, those with a single crash.
func (t *SuspectTable) evict(now timekeeper.Millis) {
	t.deleteWhere(func(r *suspectRecord) bool { return r.expiresAt <= now })
	if len(t.records) >= maxSuspects {
		t.deleteWhere(func(r *suspectRecord) bool { return len(r.crashes) <= 1 })
	}
}

func (t *SuspectTable) deleteWhere(matches func(*suspectRecord) bool) {
	for s, r := range t.records {
		if matches(r) {
			delete(t.records, s)
		}
	}
}
