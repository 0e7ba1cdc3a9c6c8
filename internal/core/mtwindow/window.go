package mtwindow

import "time"

const slots = 10

// Window counts events in a sliding window of time, in ten slots.
type Window struct {
	slot   time.Duration
	counts [slots + 1]float64
	last   int64
}

// NewWindow returns a window of a length.
func NewWindow(length time.Duration) *Window {
	return &Window{
		slot: length / slots,
	}
}

// Add counts events at a moment.
func (w *Window) Add(count float64, now time.Time) {
	w.advance(now)
	w.counts[w.last%(slots+1)] += count
}

// Sum returns the events in the window that ends now; it covers up to one slot more, never less.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

func (w *Window) advance(now time.Time) {
	index := now.UnixNano() / int64(w.slot)
	if index-w.last > slots {
		clear(w.counts[:])
		w.last = index
	}
	for ; w.last < index; w.last++ {
		w.counts[(w.last+1)%(slots+1)] = 0
	}
}
