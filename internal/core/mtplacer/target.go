package mtplacer

import (
	"math"
	"time"
)

const (
	// othersHalfLife is how fast the requests of other instances at an endpoint are forgotten after a report.
	othersHalfLife = 150 * time.Millisecond
	// paceLife is how long the slowness of a host is about the same.
	paceLife = 150 * time.Millisecond
	// failuresToEject in a row keep an endpoint without new requests for ejectionFirst, doubled up to ejectionLongest.
	failuresToEject = 3
	ejectionFirst   = 700 * time.Millisecond
	ejectionLongest = 6 * time.Second
	// unseenPause is how long an endpoint that did not tell its figures is passed over.
	unseenPause = 300 * time.Millisecond
	// restMost bounds the time for which an endpoint may keep requests away: a longer one is an error of the endpoint.
	restMost = 5 * time.Minute
	// hearsayMost bounds the time for which an endpoint gets no requests because of what it said to another instance.
	hearsayMost = time.Second
	// coldFactor is how much longer work takes on an endpoint that has just started.
	coldFactor = 2
	// failureWeight is the weight of one result in the share of failures.
	failureWeight = 0.15
)

// Verdict is what became of a request at an endpoint.
type Verdict int

// The verdicts.
const (
	// Served is a whole answer.
	Served Verdict = iota
	// Shed is a refusal by the endpoint, which did not run the request.
	Shed
	// Failed is a failure of the endpoint.
	Failed
	// Abandoned is a request that this instance gave up.
	Abandoned
)

// Result is the end of a request at an endpoint.
type Result struct {
	Verdict Verdict
	Took    time.Duration
	// Size is the size of the answer in bytes.
	Size int64
}

// Report is the load that an endpoint states of itself.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the slowness of the host at present as a multiple of the usual, or 0 when not told.
	Pace float64
	// Own is the number of this instance's requests that Running and Waiting count.
	Own int
}

// Target is one process of an endpoint as one entry instance sees it. The first four fields never change, and may be read
// without the placer's lock.
type Target struct {
	ID      string
	Address string
	Centre  string
	// Born tells the processes of one endpoint apart.
	Born int64

	Slots int
	// Warm is when the endpoint has full speed.
	Warm time.Time
	// Draining is set when the endpoint receives no new requests.
	Draining bool

	inflight int
	others   float64
	pace     float64
	reported time.Time
	// looking is set while the figures are being asked for.
	looking  bool
	lookedAt time.Time
	// spent is the number of looks beyond the budget's rate, at the moment counted.
	spent   float64
	counted time.Time
	// rested is until when the endpoint wants no requests.
	rested time.Time
	// hearsay is set when it said so to another instance.
	hearsay bool
	// served is when the last request was served.
	served   time.Time
	failures int
	failing  float64
	ejected  time.Time
	backoff  time.Duration
}

// Inflight returns the number of this instance's requests at the endpoint.
func (t *Target) Inflight() int {
	return t.inflight
}

// Reported returns when the endpoint last reported its load; zero before the first report.
func (t *Target) Reported() time.Time {
	return t.reported
}

// IsEjected reports whether the endpoint has failed too often to be used.
func (t *Target) IsEjected(now time.Time) bool {
	return now.Before(t.ejected)
}

// IsResting reports whether the endpoint has asked for a time without requests that is not over.
func (t *Target) IsResting(now time.Time) bool {
	return now.Before(t.rested)
}

// RestLeft returns for how long the endpoint wants no requests of this instance, or 0; what it said to others does not count.
func (t *Target) RestLeft(now time.Time) time.Duration {
	if t.hearsay {
		return 0
	}
	return max(0, t.rested.Sub(now))
}

// IsOpen reports whether the endpoint may get requests and looks.
func (t *Target) IsOpen(now time.Time) bool {
	return !t.Draining && !t.IsResting(now)
}

// Rest keeps requests and looks away for a time; after it one request goes first, and more when that one was served.
func (t *Target) Rest(rest time.Duration, now time.Time) {
	if until := now.Add(min(rest, restMost)); until.After(t.rested) {
		t.rested = until
	}
	t.hearsay = false
	t.failures = max(t.failures, failuresToEject)
}

// RestAsOthers does the same for a time that the endpoint said to another instance. It may have meant that one alone, so the time
// is bounded, and an endpoint that serves this instance stays in use.
func (t *Target) RestAsOthers(rest time.Duration, now time.Time) {
	if t.IsResting(now) || now.Sub(t.served) < hearsayMost {
		return
	}
	t.Rest(min(rest, hearsayMost), now)
	t.hearsay = true
}

func (t *Target) start() {
	t.inflight++
}

func (t *Target) end(result Result, now time.Time) {
	t.inflight--
	switch result.Verdict {
	case Served:
		t.failures = 0
		t.served = now
		t.backoff = 0
		t.ejected = time.Time{}
		t.failing -= failureWeight * t.failing
	case Failed:
		t.failing += failureWeight * (1 - t.failing)
		t.fail(now)
	case Shed:
		t.fail(now)
	}
}

func (t *Target) fail(now time.Time) {
	t.failures++
	if t.failures < failuresToEject || now.Before(t.ejected) {
		return
	}
	t.backoff = min(max(ejectionFirst, 2*t.backoff), ejectionLongest)
	t.ejected = now.Add(t.backoff)
}

func (t *Target) observe(report Report, now time.Time) {
	t.looking = false
	t.reported = now
	t.others = max(0, float64(report.Running+report.Waiting-report.Own))
	if report.Pace > 0 {
		t.pace = report.Pace
	}
}

func (t *Target) unseen(now time.Time) {
	t.looking = false
	if pause := now.Add(unseenPause); pause.After(t.ejected) {
		t.ejected = pause
	}
}

// lookBurst is the time for which the looks of an endpoint may be saved up.
const lookBurst = 4 * time.Second

// takeLook counts a look at the endpoint and reports whether the rate, in looks a second, allows it.
func (t *Target) takeLook(rate float64, now time.Time) bool {
	if !t.counted.IsZero() {
		t.spent = max(0, t.spent-rate*now.Sub(t.counted).Seconds())
	}
	t.counted = now
	if t.spent+1 > max(1, rate*lookBurst.Seconds()) {
		return false
	}
	t.spent++
	return true
}

// level returns the estimated number of requests at the endpoint.
func (t *Target) level(now time.Time) int {
	others := t.others
	if others > 0 {
		others *= math.Exp2(-float64(now.Sub(t.reported)) / float64(othersHalfLife))
	}
	return t.inflight + int(others+0.5)
}

// paceNow returns the expected slowness of the host, which goes back to the mean as the figure ages.
func (t *Target) paceNow(mean float64, now time.Time) float64 {
	if t.pace == 0 {
		return mean
	}
	trust := math.Exp(-float64(now.Sub(t.reported)) / float64(paceLife))
	return mean + trust*(t.pace-mean)
}
