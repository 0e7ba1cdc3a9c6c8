package mtplacer

import "math"

const (
	// curveWeight is the weight of one sample.
	curveWeight = 0.03
	// kneeGuess is the part of the slots from which on endpoints are thought to slow down, and kneeSlowness by how much,
	// until samples tell.
	kneeGuess    = 0.8
	kneeSlowness = 1.5
	// gainLeast is how much more throughput another slot must bring to be used.
	gainLeast = 1.03
	// sampleBounds keep single freak samples from spoiling a level.
	sampleLeast = 0.3
	sampleMost  = 4.0
)

// curve is how much longer work takes with a number of requests at the endpoint at once, as a multiple of one alone.
type curve struct {
	levels []mean
	counts []int
	// known holds the results of best by the number of slots until the next sample.
	known map[int]int
}

func newCurve() *curve {
	return &curve{
		known: map[int]int{},
	}
}

func (c *curve) learn(level int, ratio float64) {
	if level < 1 {
		return
	}
	clear(c.known)
	for len(c.levels) <= level {
		c.levels = append(c.levels, mean{
			weight: curveWeight,
		})
		c.counts = append(c.counts, 0)
	}
	c.levels[level].add(math.Min(sampleMost, math.Max(sampleLeast, ratio)))
	c.counts[level]++
}

// trusted is the number of samples from which on a level counts.
const trusted = 30

func (c *curve) factor(level, slots int) float64 {
	if level <= 1 {
		return 1
	}
	if level < len(c.levels) && c.counts[level] >= trusted {
		return max(1, c.levels[level].value)
	}
	if float64(level) > kneeGuess*float64(slots) {
		return kneeSlowness
	}
	return 1
}

// best returns the number of requests at once with the highest throughput.
func (c *curve) best(slots int) int {
	if found, ok := c.known[slots]; ok {
		return found
	}
	found := c.compute(slots)
	c.known[slots] = found
	return found
}

func (c *curve) compute(slots int) int {
	best, most := 1, 1.0
	for level := 2; level <= slots; level++ {
		if throughput := float64(level) / c.factor(level, slots); throughput > gainLeast*most {
			best, most = level, throughput
		}
	}
	return best
}
