package scripter

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

const (
	// sampleInterval is the time between two looks at the heap.
	sampleInterval = time.Millisecond
	// collectPercent is by how much the heap may grow, in percent, until garbage is collected.
	collectPercent = 10
)

// CheckHeap fails the test if the heap of the process grows by more than limit bytes while run goes on. Garbage is collected early meanwhile,
// so that little of it counts.
func CheckHeap(t testing.TB, limit uint64, run func()) {
	t.Helper()
	defer debug.SetGCPercent(debug.SetGCPercent(collectPercent))
	runtime.GC()
	before := heapBytes()
	done, peak := make(chan struct{}), make(chan uint64, 1)
	go func() { peak <- watchHeap(done) }()
	func() {
		defer close(done)
		run()
	}()
	if after := <-peak; after > before+limit {
		t.Errorf("the heap grew by %d MB, %d allowed", (after-before)>>20, limit>>20)
	}
}

// watchHeap returns the largest size of the heap until done is closed, in bytes.
func watchHeap(done <-chan struct{}) uint64 {
	peak := heapBytes()
	for {
		select {
		case <-done:
			return max(peak, heapBytes())
		case <-time.After(sampleInterval):
			peak = max(peak, heapBytes())
		}
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapInuse
}
