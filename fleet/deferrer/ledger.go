package deferrer

import (
	"slices"

	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// slotTime is the precision with which returns are counted.
	slotTime = 100 * timekeeper.Millis(1)
	// ledgerSlots times slotTime is how far ahead returns are counted; later ones count in the last slot.
	ledgerSlots = 64
	// maxPriorities is the number of priorities that are told apart. Others count as the nearest of these.
	maxPriorities = 8
)

// ledger counts the callers that are to come back by time and priority. What lies behind or too far ahead of the present counts as
// empty, so that a step of the clock leaves nothing behind.
type ledger struct {
	slots [ledgerSlots]ledgerSlot
	// priorities holds the priorities that slots count, in the order in which they were seen.
	priorities []prioritizer.Priority
}

type ledgerSlot struct {
	// number is the slot's time divided by slotTime.
	number timekeeper.Millis
	counts [maxPriorities]uint32
}

// returnCount is the number of callers that are to come back by their priority in relation to another one.
type returnCount struct {
	moreUrgent, equal, all int
}

// add counts a caller that comes back at a time.
func (l *ledger) add(at timekeeper.Millis, p prioritizer.Priority, now timekeeper.Millis) {
	number := min(at/slotTime, now/slotTime+ledgerSlots-1)
	s := &l.slots[number%ledgerSlots]
	if s.number != number {
		*s = ledgerSlot{number: number}
	}
	s.counts[l.column(p)]++
}

// count returns the number of callers that are to come back.
func (l *ledger) count(p prioritizer.Priority, now timekeeper.Millis) returnCount {
	first := now / slotTime
	own := l.column(p)
	var n returnCount
	for i := range l.slots {
		s := &l.slots[i]
		if s.number < first || s.number >= first+ledgerSlots {
			continue
		}
		for column := range l.priorities {
			callers := int(s.counts[column])
			n.all += callers
			switch {
			case column == own:
				n.equal += callers
			case l.priorities[column] < l.priorities[own]:
				n.moreUrgent += callers
			}
		}
	}

	return n
}

// total returns the number of all callers that are to come back.
func (l *ledger) total(now timekeeper.Millis) int {
	if len(l.priorities) == 0 {
		return 0
	}

	return l.count(l.priorities[0], now).all
}

// column returns the place of a priority in the slots' counts, or that of the nearest one if there is no place left for it.
func (l *ledger) column(p prioritizer.Priority) int {
	if i := slices.Index(l.priorities, p); i >= 0 {
		return i
	}
	if len(l.priorities) < maxPriorities {
		l.priorities = append(l.priorities, p)

		return len(l.priorities) - 1
	}
	nearest := 0
	for i, other := range l.priorities {
		if distance(p, other) < distance(p, l.priorities[nearest]) {
			nearest = i
		}
	}

	return nearest
}

func distance(p, other prioritizer.Priority) prioritizer.Priority {
	return max(p-other, other-p)
}
