// Load pattern: cancellation, load shedding, draining and the deadline compete with the dispatch of a call. An attempt
// only moves forward:
//
//	waiting -> committed -> answered | unknown
//	waiting -> closed
//
// An attempt becomes committed before the first byte is written to the endpoint. Cancellation, shedding, draining and
// the deadline close it. Both transitions start at waiting, and a compare-and-swap lets only one succeed, so the
// outcome "not run" is reported only for an attempt that can never be sent, or that the endpoint verifiably refused.

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

// Attempt is the state machine of one attempt. The zero value is waiting.
type Attempt struct {
	state atomic.Int32
}

// Commit moves a waiting attempt to committed, after which it may be sent, and reports whether it did.
func (a *Attempt) Commit() bool {
	return a.state.CompareAndSwap(waiting, committed)
}

// Close ends a waiting attempt for good, and reports whether the attempt is closed.
func (a *Attempt) Close() bool {
	return a.state.CompareAndSwap(waiting, closed) || a.state.Load() == closed
}

// MarkRefused records that the endpoint verifiably refused a committed attempt before it ran.
func (a *Attempt) MarkRefused() bool {
	return a.state.CompareAndSwap(committed, closed)
}

// MarkAnswered records that the endpoint answered.
func (a *Attempt) MarkAnswered() bool {
	return a.state.CompareAndSwap(committed, answered)
}

// MarkUnknown records that the result of a committed attempt can't be determined.
func (a *Attempt) MarkUnknown() bool {
	return a.state.CompareAndSwap(committed, unknown)
}

// Outcome returns the outcome that may be reported to the caller at present.
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
