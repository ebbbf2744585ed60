package budgeter

import "cardamompulley/fleet/timekeeper"

// windowBuckets is the number of buckets of a window; a bucket expires as a whole. One bucket is added to those that the
// length of the window needs, because the newest one is still filling.
const windowBuckets = 20

// window counts the events in a sliding window.
type window struct {
	bucketLength timekeeper.Millis
	counts       [windowBuckets]int
	// newest is the number of the newest bucket since time 0.
	newest timekeeper.Millis
	total  int
}

func newWindow(length timekeeper.Millis) *window {
	return &window{bucketLength: max(length/(windowBuckets-1), 1)}
}

// advance drops the buckets that have left the window.
func (w *window) advance(now timekeeper.Millis) {
	current := now / w.bucketLength
	for steps := 0; w.newest < current && steps < windowBuckets; steps++ {
		w.newest++
		i := w.newest % windowBuckets
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
	w.newest = max(w.newest, current)
}

func (w *window) add(now timekeeper.Millis) {
	w.advance(now)
	w.counts[w.newest%windowBuckets]++
	w.total++
}

// remove takes back an event that was added at a time, unless it has left the window.
func (w *window) remove(at, now timekeeper.Millis) {
	w.advance(now)
	number := at / w.bucketLength
	if number > w.newest-windowBuckets && w.counts[number%windowBuckets] > 0 {
		w.counts[number%windowBuckets]--
		w.total--
	}
}

func (w *window) count(now timekeeper.Millis) int {
	w.advance(now)

	return w.total
}
