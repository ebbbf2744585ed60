package storekeeper

// Faults holds the faults that PUT /faults injects. They apply to read requests only.
type Faults struct {
	// ErrorStatus is the status that every read request gets in place of data. If 0, reads succeed.
	ErrorStatus int `json:"status"`
	// HangRequests leaves read requests without a response until their client disconnects.
	HangRequests bool `json:"silent"`
	// HangWatches leaves watches, waiting and new ones, without a response until their client disconnects. A watch that was
	// hung stays so after the fault is cleared.
	HangWatches bool `json:"deaf"`
	// ForgetHistory answers every watch as if the history that it needs were gone.
	ForgetHistory bool `json:"forgetful"`
	// AddOddItems adds items that cannot be read to every answer that has any.
	AddOddItems bool `json:"odd-items"`
	// ResetConnections closes the connection of every read request.
	ResetConnections bool `json:"reset"`
}

// SetFaults replaces the injected faults and wakes waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}
