package estimator

import (
	"math"

	"cardamompulley/fleet/timekeeper"
)

const (
	// maxFigureAge is the age from which a slowdown says nothing.
	maxFigureAge = 3 * timekeeper.Second
	// minMemory and maxMemory bound how long a slowdown is taken to last; initialMemory holds until figures have told.
	minMemory     = 20.0
	initialMemory = 250.0
	maxMemory     = 5000.0
	// memoryWeight is the weight of a new pair of figures in the learnt memory.
	memoryWeight = 0.1
	// slowFrom is the slowdown from which a figure tells how long slowdowns last.
	slowFrom = 1.2
	// minRatio and maxRatio bound the slowdown that is inferred from the time of an answer.
	minRatio, maxRatio = 0.5, 4.0
)

// figure is the newest slowdown of an endpoint.
type figure struct {
	slowdown float64
	at       timekeeper.Millis
}

// memory is how long slowdowns last, learnt from pairs of figures of one endpoint.
type memory struct {
	// millis is the time after which a figure has lost all but 1/e of its worth.
	millis float64
}

// learn takes in a figure that follows one which told a slowdown: a figure that has stayed says that slowdowns last for longer than the time
// between the two, one that has gone that they do not.
func (m *memory) learn(before, after figure) {
	age := float64(after.at - before.at)
	if before.slowdown < slowFrom || age <= 0 || after.at-before.at > maxFigureAge {
		return
	}
	kept := min(max((after.slowdown-1)/(before.slowdown-1), 0), 1)
	expected := math.Exp(-age / m.millis)
	// A step on the logarithm of the memory keeps it positive; pairs far older than the memory have next to no weight.
	m.millis *= math.Exp(memoryWeight * (kept - expected) * m.weight(age))
	m.millis = min(max(m.millis, minMemory), maxMemory)
}

// weight returns how much a pair of figures tells: most if it is as old as the memory.
func (m *memory) weight(age float64) float64 {
	x := age / m.millis

	return x * math.Exp(1-x)
}

// at returns the slowdown that a figure stands for at a time: as usual (1) for one that is old.
func (m *memory) at(f figure, now timekeeper.Millis) float64 {
	age := now - f.at
	if f.slowdown == 0 || age >= maxFigureAge {
		return 1
	}

	return 1 + (f.slowdown-1)*math.Exp(-float64(max(age, 0))/m.millis)
}
