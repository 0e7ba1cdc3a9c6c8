// An attempt only moves forward:
//
//	waiting -> committed -> answered | unknown
//	waiting -> closed
//
// The step to committed happens before the first byte is written to the endpoint. Cancel, shed, drain and deadline take
// the step to closed. Both start at waiting, and one compare-and-swap decides, so "not run" is said only of an attempt
// that can never be sent.

package mtattempt

import (
	"sync/atomic"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	waiting int32 = iota
	committed
	closed
	answered
	unknown
)

// Attempt is the one-way state of one attempt; its zero value waits.
type Attempt struct {
	state atomic.Int32
}

// Commit takes the step after which the attempt may be sent, and reports whether it was taken.
func (a *Attempt) Commit() bool {
	return a.state.CompareAndSwap(waiting, committed)
}

// Close ends a waiting attempt for good, and reports whether it had not been committed.
func (a *Attempt) Close() bool {
	return a.state.CompareAndSwap(waiting, closed) || a.state.Load() == closed
}

// Refuse records that the endpoint verifiably refused a committed attempt before it ran.
func (a *Attempt) Refuse() bool {
	return a.state.CompareAndSwap(committed, closed)
}

// Answer records that the endpoint answered.
func (a *Attempt) Answer() bool {
	return a.state.CompareAndSwap(committed, answered)
}

// Lose records that the result of a committed attempt can't be known.
func (a *Attempt) Lose() bool {
	return a.state.CompareAndSwap(committed, unknown)
}

// Outcome returns what may be said to the caller at present.
func (a *Attempt) Outcome() mtoutcome.Outcome {
	switch a.state.Load() {
	case closed:
		return mtoutcome.NotRun
	case answered:
		return mtoutcome.Answered
	default:
		return mtoutcome.Unknown
	}
}
