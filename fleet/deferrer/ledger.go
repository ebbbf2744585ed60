package deferrer

import "cardamompulley/fleet/timekeeper"

const (
	// slotTime is the precision with which returns are counted.
	slotTime = 100 * timekeeper.Millis(1)
	// ledgerSlots times slotTime is how far ahead returns are counted; later ones count in the last slot.
	ledgerSlots = 64
	// priorities is the number of priorities that are told apart. Less urgent ones count as the last.
	priorities = 8
)

// ledger counts the callers that are to come back by time and priority. What lies behind or too far ahead of the present counts as
// empty, so that a step of the clock leaves nothing behind.
type ledger struct {
	slots [ledgerSlots]ledgerSlot
}

type ledgerSlot struct {
	// number is the slot's time divided by slotTime.
	number     timekeeper.Millis
	byPriority [priorities]uint32
}

// add counts a caller that comes back at a time.
func (l *ledger) add(at timekeeper.Millis, priority int, now timekeeper.Millis) {
	number := min(at/slotTime, now/slotTime+ledgerSlots-1)
	s := &l.slots[number%ledgerSlots]
	if s.number != number {
		*s = ledgerSlot{number: number}
	}
	s.byPriority[clampPriority(priority)]++
}

// count returns the number of callers that are to come back whose priority is at least as urgent as the given one, and that of all. A
// negative priority is more urgent than any.
func (l *ledger) count(priority int, now timekeeper.Millis) (upTo, all int) {
	first := now / slotTime
	for i := range l.slots {
		s := &l.slots[i]
		if s.number < first || s.number >= first+ledgerSlots {
			continue
		}
		for p, n := range s.byPriority {
			all += int(n)
			if priority >= 0 && p <= clampPriority(priority) {
				upTo += int(n)
			}
		}
	}

	return upTo, all
}

func clampPriority(priority int) int {
	return min(max(priority, 0), priorities-1)
}
