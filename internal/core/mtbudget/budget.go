package mtbudget

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtwindow"
)

const (
	defaultWindow = 10 * time.Second
	// defaultExtraRatio is the number of extra attempts allowed per call in the window.
	defaultExtraRatio = 0.1
)

// Budget bounds the extra attempts, retries and hedges, in a sliding window to a fraction of the calls; by default to a
// tenth in 10 s.
type Budget struct {
	calls  *mtwindow.Window
	extra  *mtwindow.Window
	window time.Duration
	// extraRatio is the number of extra attempts allowed per call.
	extraRatio float64
	// slack is the number of extra attempts allowed in a window regardless of the calls.
	slack float64
}

// Option changes a budget under construction.
type Option func(*Budget)

// WithExtraRatio sets the number of extra attempts allowed per call, and the length of the window.
func WithExtraRatio(extraRatio float64, window time.Duration) Option {
	return func(b *Budget) {
		b.extraRatio = extraRatio
		b.window = window
	}
}

// NewBudget returns a budget that has seen no call.
func NewBudget(options ...Option) *Budget {
	budget := &Budget{
		window:     defaultWindow,
		extraRatio: defaultExtraRatio,
	}
	for _, option := range options {
		option(budget)
	}
	budget.calls = mtwindow.NewWindow(budget.window)
	budget.extra = mtwindow.NewWindow(budget.window)
	return budget
}

// SetSlack sets how many extra attempts are allowed in a window in addition to the fraction of the calls.
func (b *Budget) SetSlack(slack float64) {
	b.slack = slack
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

// Counts returns the numbers of calls and of extra attempts in the window.
func (b *Budget) Counts(now time.Time) (calls, extra float64) {
	return b.calls.Sum(now), b.extra.Sum(now)
}

// Remaining returns how many extra attempts the window still allows. It is negative after the slack was reduced or calls
// have left the window.
func (b *Budget) Remaining(now time.Time) float64 {
	return b.extraRatio*b.calls.Sum(now) + b.slack - b.extra.Sum(now)
}
