package mtgateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
)

// importance ranks log lines; each importance has a limit of its own.
type importance int

const (
	// importanceOrdinary is for lines about requests that succeeded or whose callers left.
	importanceOrdinary importance = iota
	// importanceFailure is for lines about refused or failed requests, failed or extra attempts, and endpoints that
	// want no requests for a time.
	importanceFailure
)

// maxLinesPerSecond limits the lines of each importance. A line costs some 10 microseconds, so both together stay below
// half a hundredth of a core. A separate line reports the number of suppressed lines.
var maxLinesPerSecond = map[importance]int{
	importanceOrdinary: 40,
	importanceFailure:  200,
}

// requestLog limits the rate of log lines about requests; its mutex is a leaf.
type requestLog struct {
	logger *logrus.Logger

	mu                 sync.Mutex
	windowStart        time.Time
	written            map[importance]int
	suppressedInWindow map[importance]int
	// suppressedTotal counts the lines suppressed since the start.
	suppressedTotal map[importance]int
}

func newRequestLog(logger *logrus.Logger) *requestLog {
	return &requestLog{
		logger:             logger,
		written:            map[importance]int{},
		suppressedInWindow: map[importance]int{},
		suppressedTotal:    map[importance]int{},
	}
}

// allow reports whether another line of an importance may be written now, and counts it.
func (l *requestLog) allow(importance importance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.startWindow(now)
	}
	if l.written[importance] >= maxLinesPerSecond[importance] {
		l.suppressedInWindow[importance]++
		l.suppressedTotal[importance]++
		return false
	}
	l.written[importance]++
	return true
}

// suppressed returns the number of lines of an importance suppressed since the start.
func (l *requestLog) suppressed(importance importance) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressedTotal[importance]
}

// startWindow starts a new one-second window and logs the number of lines suppressed in the previous one; the caller
// holds the mutex.
func (l *requestLog) startWindow(now time.Time) {
	l.windowStart = now
	clear(l.written)
	if len(l.suppressedInWindow) == 0 {
		return
	}
	mtevent.LogLinesOmitted.Log(l.logger, logrus.Fields{
		"ordinary": l.suppressedInWindow[importanceOrdinary],
		"failures": l.suppressedInWindow[importanceFailure],
	})
	clear(l.suppressedInWindow)
}

func (l *requestLog) write(event mtevent.Event, fields logrus.Fields) {
	event.Log(l.logger, fields)
}

// writeIfAllowed writes a line if the limit of its importance allows it.
func (l *requestLog) writeIfAllowed(event mtevent.Event, importance importance, fields logrus.Fields) {
	if l.allow(importance, time.Now()) {
		l.write(event, fields)
	}
}
