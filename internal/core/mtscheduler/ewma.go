package mtscheduler

const (
	// The weights of one sample in the moving averages.
	hostSlowdownWeight  = 0.02
	responseTimeWeight  = 0.05
	routeEstimateWeight = 0.05
	// onTimeRejectionWeight halves the weight of a sample in some twenty requests, which is a third of a second at
	// sixty requests per second.
	onTimeRejectionWeight = 0.03
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	// initialized is set once there is a sample or an initial guess.
	initialized bool
	weight      float64
	// hasInitialGuess is set when the first value is a guess, which counts as one sample; sampleCount is then the
	// number of true samples.
	hasInitialGuess bool
	sampleCount     int
	// initialGuess is removed from the mean with the sample number guessSamples; it stays if this is 0.
	initialGuess float64
	guessSamples int
}

func (e *ewma) add(sample float64) {
	if !e.initialized {
		e.value = sample
		e.initialized = true
		return
	}
	weight := e.weight
	if e.hasInitialGuess {
		e.sampleCount++
		weight = max(weight, 1/float64(e.sampleCount+1))
	}
	if e.guessSamples > 0 && e.sampleCount == e.guessSamples {
		e.value += (sample - e.initialGuess) / float64(e.sampleCount)
		return
	}
	e.value += weight * (sample - e.value)
}
