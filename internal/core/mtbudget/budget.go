package mtbudget

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtwindow"
)

const (
	window = 10 * time.Second
	// extraRatio is the number of extra attempts allowed per call in the window.
	extraRatio = 0.1
)

// Budget bounds the extra attempts, retries and hedges, in a sliding window to a tenth of the calls in 10 s.
type Budget struct {
	calls *mtwindow.Window
	extra *mtwindow.Window
}

// NewBudget returns a budget that has seen no call.
func NewBudget() *Budget {
	return &Budget{
		calls: mtwindow.NewWindow(window),
		extra: mtwindow.NewWindow(window),
	}
}

// RecordCall counts the first attempt of a call.
func (b *Budget) RecordCall(now time.Time) {
	b.calls.Add(1, now)
}

// TryExtraAttempt reports whether an extra attempt may be made, and counts it if so.
func (b *Budget) TryExtraAttempt(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.extra.Add(1, now)
	return true
}

// Remaining returns how many extra attempts the window still allows. It is negative after calls have left the window.
func (b *Budget) Remaining(now time.Time) float64 {
	return extraRatio*b.calls.Sum(now) - b.extra.Sum(now)
}
