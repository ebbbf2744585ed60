package quarantiner

import "cardamompulley/fleet/timekeeper"

const (
	// trustDuration is how long after a whole answer a suspect is trusted: crashes are not counted against it.
	trustDuration = timekeeper.Minute
	// maxAnsweredPerGeneration limits the suspects of one generation of an answer memory.
	maxAnsweredPerGeneration = 16384
)

// answerMemory remembers which suspects were answered in whole, for at least trustDuration unless there are too many. It keeps
// two generations and drops the older one when the newer is old or full.
type answerMemory struct {
	newer, older map[SuspectID]timekeeper.Millis
	startedAt    timekeeper.Millis
}

func newAnswerMemory() *answerMemory {
	return &answerMemory{newer: map[SuspectID]timekeeper.Millis{}}
}

func (m *answerMemory) record(s SuspectID, now timekeeper.Millis) {
	if now-m.startedAt >= trustDuration || len(m.newer) >= maxAnsweredPerGeneration {
		m.older, m.newer = m.newer, map[SuspectID]timekeeper.Millis{}
		m.startedAt = now
	}
	m.newer[s] = now
}

// trustedFor returns how long a suspect is still trusted, zero if it is not.
func (m *answerMemory) trustedFor(s SuspectID, now timekeeper.Millis) timekeeper.Millis {
	answeredAt, ok := m.newer[s]
	if !ok {
		answeredAt, ok = m.older[s]
	}
	if !ok {
		return 0
	}

	return max(answeredAt+trustDuration-now, 0)
}
