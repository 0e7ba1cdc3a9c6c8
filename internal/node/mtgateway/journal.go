package mtgateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
)

// importance says which lines are left out first.
type importance int

const (
	// ordinary lines tell of what went well.
	ordinary importance = iota
	// failure lines tell of requests that were refused or failed.
	failure
)

// The lines a second that are written of each importance: a line costs some 10 microseconds, so that together they stay
// below half a hundredth of a core. The counts of what was left out follow in a line of their own.
var linesPerSecond = map[importance]int{
	ordinary: 40,
	failure:  200,
}

// journal bounds the lines about requests; its mutex is a leaf.
type journal struct {
	logger *logrus.Logger

	mu     sync.Mutex
	second time.Time
	lines  map[importance]int
	spared map[importance]int
	// total is the number of lines left out since the start.
	total map[importance]int
}

func newJournal(logger *logrus.Logger) *journal {
	return &journal{
		logger: logger,
		lines:  map[importance]int{},
		spared: map[importance]int{},
		total:  map[importance]int{},
	}
}

// admits reports whether another line of an importance may be written now.
func (j *journal) admits(importance importance, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Sub(j.second) >= time.Second {
		j.roll(now)
	}
	if j.lines[importance] >= linesPerSecond[importance] {
		j.spared[importance]++
		j.total[importance]++
		return false
	}
	j.lines[importance]++
	return true
}

// leftOut returns the number of lines of an importance that were left out since the start.
func (j *journal) leftOut(importance importance) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total[importance]
}

// roll begins a new second and tells what the last one left out; the mutex is held.
func (j *journal) roll(now time.Time) {
	j.second = now
	clear(j.lines)
	if len(j.spared) == 0 {
		return
	}
	mtevent.LinesSpared.Log(j.logger, logrus.Fields{
		"ordinary": j.spared[ordinary],
		"failures": j.spared[failure],
	})
	clear(j.spared)
}

func (j *journal) write(event mtevent.Event, fields logrus.Fields) {
	event.Log(j.logger, fields)
}

// log writes a line if its importance admits one.
func (j *journal) log(event mtevent.Event, importance importance, fields logrus.Fields) {
	if j.admits(importance, time.Now()) {
		j.write(event, fields)
	}
}
