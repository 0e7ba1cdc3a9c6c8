// The load pattern: an instance is partitioned from all endpoints of a service, while callers, the store and the other
// instances still reach it. Its connections to endpoints are reset, or stay silent, or go on while new ones fail.
// Some endpoints that crash look the same at first, so a suspicion is verified with new connections to others:
//
//	reached --failures at several endpoints without a response or a new connection in between--> suspected
//	reached --a failure at one endpoint, while none has responded for quietTime--> suspected
//	reached --another instance has lost the service--> suspected
//	suspected --an endpoint responds to a check on a new connection--> reached
//	suspected --all new connections of a check fail, or stay silent while nothing else responds--> cut
//	cut --an endpoint responds to a check--> reached

package mtreach

import "time"

const (
	// minFailedEndpoints is the number of endpoints that must fail to raise a suspicion, unless the service has fewer.
	minFailedEndpoints = 2
	// quietTime is the time without a response after which the failure of one endpoint raises a suspicion: an instance with
	// few requests would otherwise need several of them to notice.
	quietTime = time.Second
	// maxFailureAge is the age up to which a failure counts.
	maxFailureAge = 3 * time.Second
	// CheckInterval is the time between two checks of a service that is cut.
	CheckInterval = 200 * time.Millisecond
	// minSuspicionInterval is the time from a check that an endpoint has answered to the next one.
	minSuspicionInterval = time.Second
)

// Tracker tracks whether one instance reaches the endpoints of one service. It is not safe for concurrent use.
type Tracker struct {
	// silent contains the endpoints that failed since any endpoint responded, and unconnected those that could not be
	// connected to since any could, each with the time of the last failure.
	silent      map[string]time.Time
	unconnected map[string]time.Time
	respondedAt time.Time
	// isPeerCut is set when another instance has lost the service since the last check.
	isPeerCut bool
	cut       bool
	checking  bool
	nextCheck time.Time
}

// NewTracker returns a tracker of a service whose endpoints are reached.
func NewTracker() *Tracker {
	return &Tracker{
		silent:      map[string]time.Time{},
		unconnected: map[string]time.Time{},
	}
}

// RecordResponse records that an endpoint has responded.
func (t *Tracker) RecordResponse(now time.Time) {
	clear(t.silent)
	t.respondedAt = now
}

// RecordConnected records that a new connection to an endpoint was opened.
func (t *Tracker) RecordConnected() {
	clear(t.unconnected)
}

// RecordFailure records that an endpoint could not be connected to, or that its connection ended or stayed silent.
func (t *Tracker) RecordFailure(endpoint string, isConnected bool, now time.Time) {
	t.silent[endpoint] = now
	if !isConnected {
		t.unconnected[endpoint] = now
	}
}

// RecordPeerCut records that another instance has lost the service, perhaps for a reason that affects this one.
func (t *Tracker) RecordPeerCut() {
	t.isPeerCut = true
}

// IsCut reports whether the instance is partitioned from all endpoints of the service.
func (t *Tracker) IsCut() bool {
	return t.cut
}

// TakeCheck reports whether the caller must check now whether any endpoint of the service, which has a number of
// endpoints, responds on a new connection; CheckEnded must follow.
func (t *Tracker) TakeCheck(endpoints int, now time.Time) bool {
	if t.checking || endpoints == 0 || now.Before(t.nextCheck) || !t.cut && !t.isSuspected(endpoints, now) {
		return false
	}
	t.checking = true
	return true
}

func (t *Tracker) isSuspected(endpoints int, now time.Time) bool {
	needed := min(minFailedEndpoints, endpoints)
	if now.Sub(t.respondedAt) > quietTime {
		needed = 1
	}
	return t.isPeerCut || countRecent(t.silent, now) >= needed || countRecent(t.unconnected, now) >= needed
}

// CheckEnded records the end of a check and reports whether it changes IsCut.
func (t *Tracker) CheckEnded(responded bool, now time.Time) bool {
	changed := t.cut == responded
	t.cut = !responded
	t.checking = false
	t.isPeerCut = false
	t.nextCheck = now.Add(CheckInterval)
	if responded {
		clear(t.silent)
		clear(t.unconnected)
		t.nextCheck = now.Add(minSuspicionInterval)
	}
	return changed
}

// countRecent returns the number of failures that count, and removes the others.
func countRecent(failures map[string]time.Time, now time.Time) int {
	for endpoint, at := range failures {
		if now.Sub(at) > maxFailureAge {
			delete(failures, endpoint)
		}
	}
	return len(failures)
}
