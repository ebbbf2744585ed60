package quarantiner

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// freshDuration is how long a suspect counts as news for the other processes after its record has changed.
	freshDuration = 10 * timekeeper.Second
	// maxRepeatedSuspects limits the suspects in a message that are no news. They reach gateways that have started since.
	maxRepeatedSuspects = 2
	// repeatsPerTurn is how often a suspect with more than one event is told where another one is told once.
	repeatsPerTurn = 8
	// relayCost is subtracted from a lifetime each time that it is passed on, so that passing it back and forth never extends
	// it. It is longer than any delivery takes.
	relayCost = timekeeper.Second
)

// Suspicion is what a process tells others of a suspect: the crashes counted against it, and how long they count. Without
// crashes it tells that the suspect was answered in whole, and how long it is trusted for that.
type Suspicion struct {
	Suspect SuspectID
	Crashes []CrashID
	// Ages tells more of each crash; it is empty if the sender does not.
	Ages      []CrashAge
	ExpiresIn timekeeper.Millis
}

// CrashAge tells when a crash was, and whether it stands for a joint event.
type CrashAge struct {
	// Age is the time since the crash. It is valid if IsKnown is true.
	Age     timekeeper.Millis
	IsKnown bool
	IsJoint bool
}

// crashes returns the crashes that are told at a time.
func (s Suspicion) crashes(now timekeeper.Millis) []crash {
	crashes := make([]crash, len(s.Crashes))
	for i, id := range s.Crashes {
		crashes[i].id = id
		if i < len(s.Ages) && s.Ages[i].IsKnown {
			crashes[i].at = now - s.Ages[i].Age
			crashes[i].hasTime = true
			crashes[i].isJoint = s.Ages[i].IsJoint
		}
	}

	return crashes
}

// Share returns suspects to tell another process, as many as fit into maxBytes: news first, those of several
// events and those shared least often before others, then a random choice of those that are no news.
func (t *SuspectTable) Share(maxBytes int, now timekeeper.Millis) []Suspicion {
	fresh, old := t.split(now)
	slices.SortFunc(fresh, t.compareNews)
	rand.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	slices.SortStableFunc(old, t.compareRepeats)
	var shared []Suspicion
	for _, s := range append(fresh, old[:min(len(old), maxRepeatedSuspects)]...) {
		r := t.records[s]
		maxBytes -= suspicionHeaderBytes + (crashIDBytes+crashAgeBytes)*len(r.crashes)
		if maxBytes < 0 {
			break
		}
		r.timesShared++
		shared = append(shared, t.ShareOne(s, now)...)
	}

	return shared
}

// ShareOne returns what to tell another process of one suspect, nil if there is nothing.
func (t *SuspectTable) ShareOne(s SuspectID, now timekeeper.Millis) []Suspicion {
	r := t.live(s, now)
	if r == nil {
		return nil
	}

	suspicion := Suspicion{Suspect: s, ExpiresIn: r.expiresAt - now}
	for _, c := range r.crashes {
		suspicion.Crashes = append(suspicion.Crashes, c.id)
		suspicion.Ages = append(suspicion.Ages, CrashAge{Age: max(now-c.at, 0), IsKnown: c.hasTime, IsJoint: c.isJoint})
	}

	return []Suspicion{suspicion}
}

// MergeEncoded takes in suspicions that another process has encoded.
func (t *SuspectTable) MergeEncoded(encoded []byte, now timekeeper.Millis) {
	for _, s := range DecodeSuspicions(encoded) {
		t.Merge(s, now)
	}
}

// Merge takes in what another process tells and reports whether it changes what is counted here. Crashes of a suspect that is
// trusted here are not counted, and the other processes are told so.
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

	return t.addCrashes(s.Suspect, s.crashes(now), expiresIn, now)
}

// announceTrust makes the trust in a suspect news for the other processes, unless it is.
func (t *SuspectTable) announceTrust(s SuspectID, duration, now timekeeper.Millis) {
	if r := t.live(s, now); r != nil && now-r.changedAt < freshDuration {
		return
	}
	t.put(s, &suspectRecord{expiresAt: now + duration, changedAt: now}, now)
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

// compareRepeats orders suspects with more than one event before others.
func (t *SuspectTable) compareRepeats(x, y SuspectID) int {
	isRepeat, otherIsRepeat := t.records[x].isRepeat(), t.records[y].isRepeat()
	switch {
	case isRepeat == otherIsRepeat:
		return 0
	case isRepeat:
		return -1
	default:
		return 1
	}
}

// isRepeat reports whether more than one event counts against the suspect.
func (r *suspectRecord) isRepeat() bool {
	return len(r.crashes) > 1
}

// compareNews orders suspects by the urgency of telling others. Those with more than one event are told more often than the others, but do
// not keep them from being told.
func (t *SuspectTable) compareNews(x, y SuspectID) int {
	a, b := t.records[x], t.records[y]

	return cmp.Or(cmp.Compare(a.turns(), b.turns()), t.compareRepeats(x, y), cmp.Compare(a.timesShared, b.timesShared),
		cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(x, y))
}

// turns returns how often a suspect has had its turn to be told.
func (r *suspectRecord) turns() int {
	if r.isRepeat() {
		return r.timesShared / repeatsPerTurn
	}

	return r.timesShared
}
