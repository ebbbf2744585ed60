package quarantiner

import (
	"cmp"
	"math/rand/v2"
	"slices"

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
	// freshDuration is how long a suspect counts as news for the other processes after its record has changed.
	freshDuration = 10 * timekeeper.Second
	// maxRepeatedSuspects limits the suspects in a message that are no news. They reach gateways that have started since.
	maxRepeatedSuspects = 2
	// relayCost is subtracted from a lifetime each time that it is passed on, so that passing it back and forth never extends
	// it. It is longer than any delivery takes.
	relayCost = timekeeper.Second
)

// Suspicion is what a process tells others of a suspect: the crashes counted against it, and how long they count. Without
// crashes it tells that the suspect was answered in whole, and how long it is trusted for that.
type Suspicion struct {
	Suspect   SuspectID
	Crashes   []CrashID
	ExpiresIn timekeeper.Millis
}

// suspectRecord holds the crashes of a suspect, or that it is trusted: then it has none.
type suspectRecord struct {
	// crashes is sorted.
	crashes   []CrashID
	expiresAt timekeeper.Millis
	changedAt timekeeper.Millis
	// timesShared is how often the record has been shared since it changed.
	timesShared int
}

// SuspectTable holds the crashes counted against suspects, by this process and by those that it hears from. A crash counts once
// however many processes report it, and the crashes that different processes report add up. A whole answer at any process clears
// a suspect at all of them, and keeps it clear while it is trusted. SuspectTable is not safe for concurrent use.
type SuspectTable struct {
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
		return len(r.crashes)
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

// ShareOne returns what to tell another process of one suspect, nil if there is nothing.
func (t *SuspectTable) ShareOne(s SuspectID, now timekeeper.Millis) []Suspicion {
	r := t.live(s, now)
	if r == nil {
		return nil
	}

	return []Suspicion{{Suspect: s, Crashes: slices.Clone(r.crashes), ExpiresIn: r.expiresAt - now}}
}

// MergeEncoded takes in suspicions that another process has encoded.
func (t *SuspectTable) MergeEncoded(encoded []byte, now timekeeper.Millis) {
	for _, s := range DecodeSuspicions(encoded) {
		t.Merge(s, now)
	}
}

// Add counts a crash against a suspect and reports whether it was not counted yet. It counts none against a trusted suspect.
func (t *SuspectTable) Add(s SuspectID, c CrashID, now timekeeper.Millis) bool {
	if t.trustedFor(s, now) > 0 {
		return false
	}

	return t.addCrashes(s, []CrashID{c}, recordLifetime, now)
}

// Merge takes in what another process tells and reports whether it changes what is counted here. Crashes of a suspect that is
// trusted here are not counted, and the other gateways are told so.
func (t *SuspectTable) Merge(s Suspicion, now timekeeper.Millis) bool {
	expiresIn := min(s.ExpiresIn, recordLifetime) - relayCost
	if expiresIn <= 0 {
		return false
	}
	if len(s.Crashes) == 0 {
		return t.trust(s.Suspect, min(expiresIn, trustDuration), now)
	}
	if trustedFor := t.trustedFor(s.Suspect, now); trustedFor > 0 {
		t.announceTrust(s.Suspect, trustedFor, now)

		return false
	}

	return t.addCrashes(s.Suspect, s.Crashes, expiresIn, now)
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

// announceTrust makes the trust in a suspect news for the other processes, unless it is.
func (t *SuspectTable) announceTrust(s SuspectID, duration, now timekeeper.Millis) {
	if r := t.live(s, now); r != nil && now-r.changedAt < freshDuration {
		return
	}
	t.put(s, &suspectRecord{expiresAt: now + duration, changedAt: now}, now)
}

// addCrashes counts crashes against a suspect and reports whether any was not counted yet.
func (t *SuspectTable) addCrashes(s SuspectID, crashes []CrashID, expiresIn, now timekeeper.Millis) bool {
	r := t.live(s, now)
	if r == nil {
		r = &suspectRecord{}
	}
	known := len(r.crashes)
	for _, c := range crashes {
		if i, ok := slices.BinarySearch(r.crashes, c); !ok && len(r.crashes) < maxCrashesPerSuspect {
			r.crashes = slices.Insert(r.crashes, i, c)
		}
	}
	if len(r.crashes) == known {
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

// Share returns suspects to tell another process, as many as fit into maxBytes: news first, those with more than one crash and
// those shared least often before others, then a random choice of those that are no news.
func (t *SuspectTable) Share(maxBytes int, now timekeeper.Millis) []Suspicion {
	fresh, old := t.split(now)
	slices.SortFunc(fresh, t.compareNews)
	rand.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	slices.SortStableFunc(old, t.compareRepeats)
	var shared []Suspicion
	for _, s := range append(fresh, old[:min(len(old), maxRepeatedSuspects)]...) {
		r := t.records[s]
		maxBytes -= suspicionHeaderBytes + crashIDBytes*len(r.crashes)
		if maxBytes < 0 {
			break
		}
		r.timesShared++
		shared = append(shared, t.ShareOne(s, now)...)
	}

	return shared
}

// split returns the suspects that are news and those that are not. It deletes those that have expired.
func (t *SuspectTable) split(now timekeeper.Millis) (fresh, old []SuspectID) {
	for s, r := range t.records {
		switch {
		case r.expiresAt <= now:
			delete(t.records, s)
		case now-r.changedAt < freshDuration:
			fresh = append(fresh, s)
		default:
			old = append(old, s)
		}
	}

	return fresh, old
}

// compareRepeats orders suspects with more than one crash before others.
func (t *SuspectTable) compareRepeats(x, y SuspectID) int {
	isRepeat, otherIsRepeat := len(t.records[x].crashes) > 1, len(t.records[y].crashes) > 1
	switch {
	case isRepeat == otherIsRepeat:
		return 0
	case isRepeat:
		return -1
	default:
		return 1
	}
}

// compareNews orders suspects by the urgency of telling others.
func (t *SuspectTable) compareNews(x, y SuspectID) int {
	a, b := t.records[x], t.records[y]

	return cmp.Or(t.compareRepeats(x, y), cmp.Compare(a.timesShared, b.timesShared), cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(x, y))
}
