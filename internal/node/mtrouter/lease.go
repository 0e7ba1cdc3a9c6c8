package mtrouter

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtload"
)

// Lease is the right to send one call to one endpoint; it ends with one call of Done or Abandon.
type Lease struct {
	Endpoint string
	Address  string

	desk     *desk
	endpoint *mtendpoint.Endpoint
	team     string
	started  time.Time
	ended    bool
}

// Done ends the lease after an answer or a failure of the endpoint.
func (l *Lease) Done(failed bool, now time.Time) {
	l.end(func() {
		l.endpoint.End(now.Sub(l.started), failed, now)
	}, now)
}

// Abandon ends the lease of a call that tells nothing of the endpoint's health.
func (l *Lease) Abandon() {
	l.end(l.endpoint.Abandon, time.Now())
}

// Report takes in the load report of an answer; it must come before Done.
func (l *Lease) Report(report mtload.Report, now time.Time) {
	l.desk.mu.Lock()
	defer l.desk.mu.Unlock()
	l.endpoint.Report(report, now)
}

func (l *Lease) end(count func(), now time.Time) {
	l.desk.mu.Lock()
	defer l.desk.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	count()
	l.desk.dispatcher.End(l.team)
	l.desk.bind(now)
}
