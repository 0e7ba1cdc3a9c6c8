package mtbudget

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtwindow"
)

const (
	windowDefault = 10 * time.Second
	// partDefault is the fraction of the calls in the window that may be sent once more.
	partDefault = 0.1
)

// Budget bounds the extra calls in any window of time to a part of the calls, by default a tenth in 10 s.
type Budget struct {
	calls  *mtwindow.Window
	extra  *mtwindow.Window
	window time.Duration
	part   float64
	slack  float64
}

// Option changes a budget under construction.
type Option func(*Budget)

// WithPart sets which part of the calls may be sent once more, and in which window.
func WithPart(part float64, window time.Duration) Option {
	return func(b *Budget) {
		b.part = part
		b.window = window
	}
}

// NewBudget returns a budget that has seen no call.
func NewBudget(options ...Option) *Budget {
	budget := &Budget{
		window: windowDefault,
		part:   partDefault,
	}
	for _, option := range options {
		option(budget)
	}
	budget.calls = mtwindow.NewWindow(budget.window)
	budget.extra = mtwindow.NewWindow(budget.window)
	return budget
}

// SetSlack sets how many extra calls may be made in a window beyond the part of the calls.
func (b *Budget) SetSlack(slack float64) {
	b.slack = slack
}

// Call counts a first attempt.
func (b *Budget) Call(now time.Time) {
	b.calls.Add(1, now)
}

// Take counts an extra attempt and reports whether it may be made.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.extra.Add(1, now)
	return true
}

// Left returns how many extra attempts the window still allows; below 0 after a change of the slack or fewer calls.
func (b *Budget) Left(now time.Time) float64 {
	return b.part*b.calls.Sum(now) + b.slack - b.extra.Sum(now)
}
