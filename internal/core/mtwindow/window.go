package mtwindow

import "time"

const slotCount = 10

// Window counts events in a sliding window of time that advances by slots of a tenth of its length.
type Window struct {
	slotLength time.Duration
	counts     [slotCount + 1]float64
	// lastSlot is the number of the newest slot since the Unix epoch.
	lastSlot int64
}

// NewWindow returns a window of a length.
func NewWindow(length time.Duration) *Window {
	return &Window{
		slotLength: length / slotCount,
	}
}

// Add counts events.
func (w *Window) Add(count float64, now time.Time) {
	w.advance(now)
	w.counts[w.lastSlot%(slotCount+1)] += count
}

// Sum returns the number of events in the window that ends now. It covers up to one slot more than the length, never
// less.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// advance clears the slots that have left the window.
func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.slotLength)
	if current-w.lastSlot > slotCount {
		clear(w.counts[:])
		w.lastSlot = current
	}
	for ; w.lastSlot < current; w.lastSlot++ {
		w.counts[(w.lastSlot+1)%(slotCount+1)] = 0
	}
}
