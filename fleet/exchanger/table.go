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
	// StateFull means that work waits for the endpoint.
	StateFull
)

// Names of the states for people.
var stateNames = map[State]string{
	StateUnknown: "unknown",
	StateWarm:    "warm",
	StateCold:    "cold",
	StateLeaving: "leaving",
	StateDown:    "down",
	StateFull:    "full",
}

// String names the state.
func (s State) String() string {
	return stateNames[s]
}

// Load is the load of one endpoint as seen from afar; Busy counts what runs and not what waits.
type Load struct {
	Busy  int
	State State
	At    timekeeper.Millis
}

const (
	bytesPerEndpoint = 2
	maxBusy          = 255
	stateShift       = 5
	ageMask          = 1<<stateShift - 1
	unknownAge       = ageMask
	firstAge         = 200 * timekeeper.Millis(1)
	ageGrowth        = 1.25
)

// ages are the spans that an age code stands for, each a quarter longer than the one before.
var ages = func() [unknownAge]timekeeper.Millis {
	var spans [unknownAge]timekeeper.Millis
	span := float64(firstAge)
	for code := 1; code < unknownAge; code++ {
		spans[code] = timekeeper.Millis(span)
		span *= ageGrowth
	}

	return spans
}()

// ageCode returns the code of the shortest span that is no shorter than an age.
func ageCode(age timekeeper.Millis) byte {
	for code, span := range ages {
		if age <= span {
			return byte(code)
		}
	}

	return unknownAge
}

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

// Encode appends the dense vector: a byte for busy, three bits for the state and five for the age.
func (t *Table) Encode(now timekeeper.Millis, buffer []byte) []byte {
	for _, l := range t.loads {
		code := byte(unknownAge)
		if l.State != StateUnknown {
			code = ageCode(now - l.At)
		}
		buffer = append(buffer, byte(min(l.Busy, maxBusy)), byte(l.State)<<stateShift|code)
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
		state, code := State(entry[1]>>stateShift), entry[1]&ageMask
		if state == StateUnknown || state > StateFull || code == unknownAge {
			continue
		}
		if at := now - ages[code]; at > t.loads[i].At {
			t.loads[i] = Load{Busy: int(entry[0]), State: state, At: at}
		}
	}

	return nil
}
