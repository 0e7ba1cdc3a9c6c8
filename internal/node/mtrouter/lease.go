package mtrouter

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtload"
)

// Lease is the right to send one call to one endpoint. The first call of Done or Abandon ends it.
type Lease struct {
	EndpointName string
	Address      string

	queue    *serviceQueue
	endpoint *mtendpoint.Endpoint
	team     string
	started  time.Time
	ended    bool
}

// Done ends the lease after an answer or a failure of the endpoint, and counts the result towards the endpoint's
// health.
func (l *Lease) Done(failed bool, now time.Time) {
	l.end(func() {
		l.endpoint.EndCall(now.Sub(l.started), failed, now)
	}, now)
}

// Abandon ends the lease of a call whose result says nothing about the endpoint's health.
func (l *Lease) Abandon() {
	l.end(l.endpoint.AbandonCall, time.Now())
}

// RecordLoad records the load report of an answer; it must be called before Done.
func (l *Lease) RecordLoad(report mtload.Report, now time.Time) {
	l.queue.mu.Lock()
	defer l.queue.mu.Unlock()
	l.endpoint.ApplyReport(report, now)
}

// end ends the lease once, calls recordResult and grants the free slot to a waiting call.
func (l *Lease) end(recordResult func(), now time.Time) {
	l.queue.mu.Lock()
	defer l.queue.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	recordResult()
	l.queue.dispatcher.Complete(l.team)
	l.queue.grantLeases(now)
}
