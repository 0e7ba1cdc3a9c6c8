// The load pattern: endpoints that slow down when nearly full. The number of concurrent requests is the one with the
// highest throughput, and a slot that slows the other requests at its endpoint is used last.

package mtscheduler

import "math"

const (
	// slowdownWeight is the weight of one sample in a mean slowdown.
	slowdownWeight = 0.03
	// defaultKneeRatio is the ratio of the slots above which endpoints are assumed to slow down, and
	// defaultKneeSlowdown by how much, until there are enough samples.
	defaultKneeRatio    = 0.8
	defaultKneeSlowdown = 1.5
	// minThroughputGain is how many times more throughput a further slot must bring to be used.
	minThroughputGain = 1.03
	// minSlowdownSample and maxSlowdownSample bound the samples, so that single outliers don't distort a mean.
	minSlowdownSample = 0.3
	maxSlowdownSample = 4.0
	// maxUsedSlots is the number of slots of an endpoint that an instance uses at most.
	maxUsedSlots = 1024
)

// concurrencyCurve is how many times longer a request takes at a number of concurrent requests than alone.
type concurrencyCurve struct {
	slowdowns    []ewma
	sampleCounts []int
	// optimalBySlots caches the results of optimalConcurrency by the number of slots until the next sample.
	optimalBySlots map[int]int
}

func newConcurrencyCurve() *concurrencyCurve {
	return &concurrencyCurve{
		optimalBySlots: map[int]int{},
	}
}

func (c *concurrencyCurve) addSample(concurrency int, slowdown float64) {
	if concurrency < 1 || concurrency > maxUsedSlots {
		return
	}
	clear(c.optimalBySlots)
	for len(c.slowdowns) <= concurrency {
		c.slowdowns = append(c.slowdowns, ewma{
			weight: slowdownWeight,
		})
		c.sampleCounts = append(c.sampleCounts, 0)
	}
	c.slowdowns[concurrency].add(math.Min(maxSlowdownSample, math.Max(minSlowdownSample, slowdown)))
	c.sampleCounts[concurrency]++
}

// minSlowdownSamples is the number of samples that a mean needs to be used.
const minSlowdownSamples = 30

// slowdown returns how many times longer a request takes at a number of concurrent requests than alone.
func (c *concurrencyCurve) slowdown(concurrency, slots int) float64 {
	if concurrency <= 1 {
		return 1
	}
	if concurrency < len(c.slowdowns) && c.sampleCounts[concurrency] >= minSlowdownSamples {
		return max(1, c.slowdowns[concurrency].value)
	}
	if float64(concurrency) > defaultKneeRatio*float64(slots) {
		return defaultKneeSlowdown
	}
	return 1
}

// optimalConcurrency returns the number of concurrent requests with the highest throughput.
func (c *concurrencyCurve) optimalConcurrency(slots int) int {
	if optimal, ok := c.optimalBySlots[slots]; ok {
		return optimal
	}
	optimal := c.computeOptimalConcurrency(slots)
	c.optimalBySlots[slots] = optimal
	return optimal
}

func (c *concurrencyCurve) computeOptimalConcurrency(slots int) int {
	optimal, maxThroughput := 1, 1.0
	for concurrency := 2; concurrency <= min(slots, maxUsedSlots); concurrency++ {
		if throughput := float64(concurrency) / c.slowdown(concurrency, slots); throughput >
			minThroughputGain*maxThroughput {
			optimal, maxThroughput = concurrency, throughput
		}
	}
	return optimal
}
