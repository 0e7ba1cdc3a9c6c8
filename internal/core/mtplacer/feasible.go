// The load pattern: hosts several times slower than usual, or little time left. A request that is sent to an endpoint that
// can't end it in time holds a slot for nothing, and its caller learns only at the end that it may have run.

package mtplacer

import (
	"math"
	"slices"
	"time"
)

const (
	// errorWeight is the weight of one sample in the error of the estimate.
	errorWeight = 0.05
	// errorLeast and errorMost bound the samples of the ratio of the time taken to the estimate.
	errorLeast = 0.5
	errorMost  = 1.5
	// scatterGuess is the mean distance of that ratio from one until samples tell.
	scatterGuess = 0.15
	// scatterWidth is the number of such distances that are added: nearly nine in ten samples of a normal distribution are below.
	scatterWidth = 1.5
	// A request is sent in spite of the estimate when the route has had no grant for trialGap and trialBlocked requests were
	// turned away since: an estimate that is too high would never be corrected otherwise.
	trialGap     = time.Second
	trialBlocked = 3
	// samplesLeast is the number of answers that an estimate needs to turn requests away: a guess turns none away.
	samplesLeast = 3
)

// inTime returns the options that should answer a request before its deadline, in the same order.
func (p *Placer) inTime(request *Request, options []option, now time.Time) []option {
	left := request.Deadline.Sub(now)
	isLate := func(o option) bool {
		return p.cautious(o.expected, o.pace) > left
	}
	if !slices.ContainsFunc(options, isLate) || p.workOf(request).isDoubtful(now) {
		return options
	}
	return slices.DeleteFunc(slices.Clone(options), isLate)
}

// canEnd reports whether an endpoint on a usual host that is otherwise idle could answer a request before its deadline.
func (p *Placer) canEnd(request *Request, now time.Time) bool {
	work := p.workOf(request)
	return p.cautious(work.value(), 1) <= request.Deadline.Sub(now) || work.isDoubtful(now)
}

// isDoubtful reports whether the estimate rests on too few samples, or has turned away all requests for so long that it needs a
// new one.
func (w *work) isDoubtful(now time.Time) bool {
	return w.mean.count < samplesLeast || w.isBlocked(now)
}

// isBlocked reports whether the estimate has turned away all requests for a while.
func (w *work) isBlocked(now time.Time) bool {
	return w.blocked >= trialBlocked && now.Sub(w.granted) >= trialGap
}

// sent records that a request was sent, so that its end gives a sample.
func (w *work) sent(now time.Time) {
	w.trial = w.trial || w.isBlocked(now)
	w.granted = now
	w.blocked = 0
}

// cautious returns the time in which most requests with an estimate end, for a host of a slowness.
func (p *Placer) cautious(expected time.Duration, pace float64) time.Duration {
	ratio := 1.0
	if p.isSlow(pace) {
		ratio = p.slowRatio.value
	}
	return time.Duration((ratio + scatterWidth*p.scatter.value) * float64(expected))
}

// learnError compares the end of a request with its estimate. An end by the deadline tells only that the work would have taken
// at least as long.
func (p *Placer) learnError(grant Grant, result Result) {
	if grant.Expected <= 0 || result.Verdict != Served && result.Verdict != Failed {
		return
	}
	ratio := min(errorMost, max(errorLeast, float64(result.Took)/float64(grant.Expected)))
	if result.Verdict == Failed && ratio < 1 {
		return
	}
	p.scatter.add(math.Abs(ratio - 1))
	if p.isSlow(grant.Pace) {
		p.slowRatio.add(ratio)
	}
}
