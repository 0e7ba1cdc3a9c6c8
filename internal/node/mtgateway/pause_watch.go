package mtgateway

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// pauseTick is the time between two marks that the process runs, and minPause the time without one from which on it
	// counts as paused: a process with a sixth of a core waits for less.
	pauseTick = 100 * time.Millisecond
	minPause  = 400 * time.Millisecond
	// pauseAftermath is how long after a pause messages may be handled that arrived during it, and news that were missed
	// may still be on their way.
	pauseAftermath = time.Second
	// minStall is the time beyond a tick from which on a process counts as stalled, and stallAftermath how long after that
	// messages are handled that arrived during the stall.
	minStall       = 20 * time.Millisecond
	stallAftermath = 200 * time.Millisecond
)

// pauseWatch knows whether the process was paused. Messages that arrived during the pause make the data here look as young
// as it was at their arrival.
type pauseWatch struct {
	// lastMark and pauseEnd are zero before the first mark and the first pause.
	lastMark atomic.Pointer[time.Time]
	pauseEnd atomic.Pointer[time.Time]
	// lastStall is the last stall, or nil.
	lastStall atomic.Pointer[stall]
}

// stall is a time in which the process did not run although it should have.
type stall struct {
	end    time.Time
	length time.Duration
}

// mark records that the process runs.
func (w *pauseWatch) mark(now time.Time) {
	if w.isPaused(now) {
		w.pauseEnd.Store(&now)
	}
	if length := w.sinceTick(now); length >= minStall {
		w.lastStall.Store(&stall{
			end:    now,
			length: length,
		})
	}
	w.lastMark.Store(&now)
}

// sinceTick returns by how much the next mark is late.
func (w *pauseWatch) sinceTick(now time.Time) time.Duration {
	last := w.lastMark.Load()
	if last == nil {
		return 0
	}
	// The monotonic clock may stop while the machine is suspended.
	return max(0, now.Sub(*last)-pauseTick, now.Round(0).Sub(last.Round(0))-pauseTick)
}

// messageDelay returns how long a message that is handled now may have waited for the process.
func (w *pauseWatch) messageDelay(now time.Time) time.Duration {
	delay := w.sinceTick(now)
	if last := w.lastStall.Load(); last != nil && now.Sub(last.end) < stallAftermath {
		delay = max(delay, last.length)
	}
	return delay
}

func (w *pauseWatch) isPaused(now time.Time) bool {
	return w.sinceTick(now) >= minPause-pauseTick
}

// wasPaused reports whether the process was paused a short time ago.
func (w *pauseWatch) wasPaused(now time.Time) bool {
	end := w.pauseEnd.Load()
	return w.isPaused(now) || end != nil && now.Sub(*end) < pauseAftermath
}

// run marks that the process runs until the context ends.
func (w *pauseWatch) run(ctx context.Context) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.mark(time.Now())
		}
	}
}
