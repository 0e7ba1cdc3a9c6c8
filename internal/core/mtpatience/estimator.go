// The load pattern: callers that come back after a refusal, or after they found no instance, among others that send their
// first attempt. A request says only how much longer its caller waits. Callers differ in patience, so a time below the
// longest one does not make a request a repeated one. If it did, most first attempts would count as partly late, and
// would be refused or put behind others under load.
//
// Most requests are first attempts, so the upper part of the recent times shows how far the patience of callers ranges.
// A time well below that range is the rest of a longer one.

package mtpatience

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of recent times that are remembered, and minSamples how many are needed.
	sampleCount = 128
	minSamples  = 16
	// maxRetryRatio is the ratio of repeated requests up to which the estimate holds.
	maxRetryRatio = 0.2
	// marginRatio is how far below the range of first attempts a time must be, as a ratio of the typical time.
	marginRatio = 0.03
	// updateInterval is the number of samples after which the range is computed again.
	updateInterval = 8
)

// Estimator estimates the waiting times of the callers of one route. It is not safe for concurrent use.
type Estimator struct {
	samples []time.Duration
	// next is the index of the oldest sample once there are sampleCount, and count the number of all samples.
	next  int
	count int
	// lowest is the shortest time of first attempts, and typical their median.
	lowest  time.Duration
	typical time.Duration
}

// Elapsed records the time that a caller still waits, and returns the estimated time since its first attempt, which is 0
// for a request that may be the first attempt.
func (e *Estimator) Elapsed(remaining time.Duration) time.Duration {
	e.add(remaining)
	if e.count < minSamples || remaining >= e.lowest {
		return 0
	}
	return e.typical - remaining
}

func (e *Estimator) add(remaining time.Duration) {
	if len(e.samples) < sampleCount {
		e.samples = append(e.samples, remaining)
	} else {
		e.samples[e.next] = remaining
		e.next = (e.next + 1) % sampleCount
	}
	e.count++
	if e.count%updateInterval == 0 {
		e.updateRange()
	}
}

func (e *Estimator) updateRange() {
	sorted := slices.Clone(e.samples)
	slices.Sort(sorted)
	e.typical = sorted[len(sorted)/2]
	e.lowest = sorted[int(maxRetryRatio*float64(len(sorted)))] - time.Duration(marginRatio*float64(e.typical))
}
