package prioritizer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/queuer"
)

// Priority is the urgency of a request; 0 is the most urgent.
type Priority = queuer.Priority

const (
	// MostUrgent is the most urgent priority. Smaller numbers in a configuration mean the same.
	MostUrgent Priority = 0
	// LeastUrgent is the least urgent priority. Larger numbers in a configuration mean the same.
	LeastUrgent Priority = 1<<15 - 1
)

// Of returns the priority of a request: that of its client account, or that of its route if the account has none.
func Of(r *cataloguer.Route, a cataloguer.Account) Priority {
	if a.HasPriority {
		return clamp(a.Priority)
	}

	return clamp(r.Priority)
}

// clamp returns the priority that a number in a configuration stands for.
func clamp(number int) Priority {
	return Priority(min(max(number, int(MostUrgent)), int(LeastUrgent)))
}
