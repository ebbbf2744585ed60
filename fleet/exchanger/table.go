package exchanger

import (
	"errors"
	"fmt"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// State is the state of an endpoint, as known to a process.
type State uint8

// States of an endpoint, in the order of their wire values.
const (
	StateUnknown State = iota
	StateWarm
	StateCold
	// StateDraining is called leaving on pages and in command output.
	StateDraining
	StateDown
	// StateFull means that requests wait in the queue of the endpoint.
	StateFull
)

// stateNames are the names for people, on pages and in command output.
var stateNames = map[State]string{
	StateUnknown:  "unknown",
	StateWarm:     "warm",
	StateCold:     "cold",
	StateDraining: "leaving",
	StateDown:     "down",
	StateFull:     "full",
}

// String returns the name of the state.
func (s State) String() string {
	return stateNames[s]
}

// Load is the last known load of an endpoint. Running is the number of running requests, without queued ones; pages and
// commands call it busy. ObservedAt is the time of the observation on the clock of this process.
type Load struct {
	Running    int
	State      State
	ObservedAt timekeeper.Millis
}

const (
	// Layout of an entry of the vector: one byte for the running requests, then three bits for the state and five for
	// the age code.
	bytesPerEndpoint = 2
	maxRunning       = 255
	stateShift       = 5
	ageMask          = 1<<stateShift - 1
	unknownAge       = ageMask
	minAge           = 200 * timekeeper.Millis(1)
	ageGrowth        = 1.25
)

// ageSteps holds the age that each age code stands for, each a quarter longer than the one before.
var ageSteps = func() [unknownAge]timekeeper.Millis {
	var steps [unknownAge]timekeeper.Millis
	age := float64(minAge)
	for code := 1; code < unknownAge; code++ {
		steps[code] = timekeeper.Millis(age)
		age *= ageGrowth
	}

	return steps
}()

// ageCode returns the code of the shortest step that is at least as long as an age, or unknownAge if there is none.
// Rounding up ensures that a load never appears newer than it is.
func ageCode(age timekeeper.Millis) byte {
	for code, step := range ageSteps {
		if age <= step {
			return byte(code)
		}
	}

	return unknownAge
}

// ErrVectorSize is returned for a vector whose size does not match the configuration.
var ErrVectorSize = errors.New("exchanger: vector has the wrong size")

// Table holds the newest known load of every endpoint, in the endpoint order of the configuration.
type Table struct {
	order     []model.EndpointID
	indexByID map[model.EndpointID]int
	loads     []Load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{indexByID: map[model.EndpointID]int{}}
}

// Reset switches to a new endpoint order and keeps the loads of the endpoints that remain.
func (t *Table) Reset(order []model.EndpointID) {
	loads := make([]Load, len(order))
	indexByID := make(map[model.EndpointID]int, len(order))
	for i, id := range order {
		indexByID[id] = i
		if previous, ok := t.indexByID[id]; ok {
			loads[i] = t.loads[previous]
		}
	}
	t.order = order
	t.indexByID = indexByID
	t.loads = loads
}

// Observe stores the load of an endpoint unless a newer one is known. It ignores indexes out of range.
func (t *Table) Observe(i int, l Load) {
	if i < 0 || i >= len(t.loads) || l.ObservedAt < t.loads[i].ObservedAt {
		return
	}
	t.loads[i] = l
}

// AddRunning adds to the number of running requests of an endpoint, to count those that this process has sent since the
// last observation.
func (t *Table) AddRunning(i int, change int) {
	if i >= 0 && i < len(t.loads) {
		t.loads[i].Running = max(0, t.loads[i].Running+change)
	}
}

// Get returns the last known load of an endpoint.
func (t *Table) Get(i int) Load {
	return t.loads[i]
}

// Len returns the number of endpoints.
func (t *Table) Len() int {
	return len(t.loads)
}

// Encode appends the loads of all endpoints to a buffer as a dense vector for peers.
func (t *Table) Encode(now timekeeper.Millis, buffer []byte) []byte {
	for _, l := range t.loads {
		code := byte(unknownAge)
		if l.State != StateUnknown {
			code = ageCode(now - l.ObservedAt)
		}
		buffer = append(buffer, byte(min(l.Running, maxRunning)), byte(l.State)<<stateShift|code)
	}

	return buffer
}

// Merge stores the entries of a peer's vector that are newer than the known loads. It returns ErrVectorSize if the
// vector is of another configuration.
func (t *Table) Merge(vector []byte, now timekeeper.Millis) error {
	if len(vector) != bytesPerEndpoint*len(t.loads) {
		return fmt.Errorf("%w: %d bytes for %d endpoints", ErrVectorSize, len(vector), len(t.loads))
	}
	for i := range t.loads {
		entry := vector[i*bytesPerEndpoint:]
		state, code := State(entry[1]>>stateShift), entry[1]&ageMask
		if state == StateUnknown || state > StateFull || code == unknownAge {
			continue
		}
		if at := now - ageSteps[code]; at > t.loads[i].ObservedAt {
			t.loads[i] = Load{Running: int(entry[0]), State: state, ObservedAt: at}
		}
	}

	return nil
}
