package exchanger

import (
	"errors"
	"fmt"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// State is what is known of an endpoint.
type State uint8

// The states of an endpoint, in the order of their wire values.
const (
	StateUnknown State = iota
	StateWarm
	StateCold
	StateLeaving
	StateDown
)

// Names of the states for people.
var stateNames = map[State]string{
	StateUnknown: "unknown",
	StateWarm:    "warm",
	StateCold:    "cold",
	StateLeaving: "leaving",
	StateDown:    "down",
}

// String names the state.
func (s State) String() string {
	return stateNames[s]
}

// Load is the load of one endpoint as seen from afar.
type Load struct {
	Busy  int
	State State
	At    timekeeper.Millis
}

const (
	bytesPerEndpoint = 3
	maxBusy          = 255
	ageUnit          = 100 * timekeeper.Millis(1)
	maxAge           = 255
)

// ErrVectorSize is returned for a vector of another configuration.
var ErrVectorSize = errors.New("exchanger: vector has the wrong size")

// Table holds the newest known load of every endpoint, in configuration order.
type Table struct {
	order []model.EndpointID
	index map[model.EndpointID]int
	loads []Load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{index: map[model.EndpointID]int{}}
}

// Reset takes on a new endpoint order and keeps what is known of endpoints that stay.
func (t *Table) Reset(order []model.EndpointID) {
	loads := make([]Load, len(order))
	index := make(map[model.EndpointID]int, len(order))
	for i, id := range order {
		index[id] = i
		if old, ok := t.index[id]; ok {
			loads[i] = t.loads[old]
		}
	}
	t.order = order
	t.index = index
	t.loads = loads
}

// Observe notes a load seen at an instant; older news than what is held is dropped.
func (t *Table) Observe(i int, l Load) {
	if i < 0 || i >= len(t.loads) || l.At < t.loads[i].At {
		return
	}
	t.loads[i] = l
}

// Add changes the busy count of an endpoint by what this process itself has just sent there.
func (t *Table) Add(i int, change int) {
	if i >= 0 && i < len(t.loads) {
		t.loads[i].Busy = max(0, t.loads[i].Busy+change)
	}
}

// At returns what is known of an endpoint.
func (t *Table) At(i int) Load {
	return t.loads[i]
}

// Len returns the number of endpoints.
func (t *Table) Len() int {
	return len(t.loads)
}

// Encode appends the dense vector: busy, state, age in tenths of a second.
func (t *Table) Encode(now timekeeper.Millis, buffer []byte) []byte {
	for _, l := range t.loads {
		age := min((now-l.At)/ageUnit, maxAge)
		if l.State == StateUnknown {
			age = maxAge
		}
		buffer = append(buffer, byte(min(l.Busy, maxBusy)), byte(l.State), byte(age))
	}

	return buffer
}

// Merge takes newer entries from a vector of the same configuration, or returns ErrVectorSize.
func (t *Table) Merge(vector []byte, now timekeeper.Millis) error {
	if len(vector) != bytesPerEndpoint*len(t.loads) {
		return fmt.Errorf("%w: %d bytes for %d endpoints", ErrVectorSize, len(vector), len(t.loads))
	}
	for i := range t.loads {
		entry := vector[i*bytesPerEndpoint:]
		if State(entry[1]) == StateUnknown || entry[2] == maxAge || State(entry[1]) > StateDown {
			continue
		}
		at := now - ageUnit*timekeeper.Millis(entry[2])
		if at > t.loads[i].At+ageUnit {
			t.loads[i] = Load{Busy: int(entry[0]), State: State(entry[1]), At: at}
		}
	}

	return nil
}
