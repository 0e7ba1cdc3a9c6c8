package mtbudget

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtwindow"
)

const (
	window = 10 * time.Second
	// part is the fraction of the calls in the window that may be sent once more.
	part = 0.1
)

// Budget bounds the extra calls in any 10 s to a tenth of the calls.
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

// Call counts a first attempt.
func (b *Budget) Call(now time.Time) {
	b.calls.Add(1, now)
}

// Take counts an extra attempt and reports whether it may be made.
func (b *Budget) Take(now time.Time) bool {
	if b.extra.Sum(now)+1 > part*b.calls.Sum(now) {
		return false
	}
	b.extra.Add(1, now)
	return true
}
