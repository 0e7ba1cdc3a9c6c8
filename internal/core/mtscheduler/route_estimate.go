package mtscheduler

import "time"

const (
	// initialObjectiveRatio is the ratio of the objective that a response is assumed to take before the first one.
	initialObjectiveRatio = 0.4
	// defaultProcessingTime is the initial estimate for a route without an objective.
	defaultProcessingTime = 100 * time.Millisecond
)

// routeEstimate estimates the processing time of the requests of one route: the time at an idle endpoint on a host of
// usual speed.
type routeEstimate struct {
	meanProcessingTime ewma
	// meanResponseBytes is the mean size of a response in bytes.
	meanResponseBytes ewma
	// lastSentAt is when a request was last sent; zero before the first.
	lastSentAt time.Time
	// rejectedSinceSent is the number of requests since then that were rejected because no host could meet their
	// deadline.
	rejectedSinceSent int
	// trialInFlight is set while a request is in flight that was sent because the estimate had rejected all others.
	trialInFlight bool
}

func newRouteEstimate(objective time.Duration) *routeEstimate {
	processingTime := time.Duration(initialObjectiveRatio * float64(objective))
	if objective <= 0 {
		processingTime = defaultProcessingTime
	}
	return &routeEstimate{
		meanProcessingTime: ewma{
			value:           float64(processingTime),
			initialized:     true,
			hasInitialGuess: true,
			initialGuess:    float64(processingTime),
			guessSamples:    minEstimateSamples,
			weight:          routeEstimateWeight,
		},
		meanResponseBytes: ewma{
			weight: routeEstimateWeight,
		},
	}
}

func (r *routeEstimate) processingTime() time.Duration {
	return time.Duration(r.meanProcessingTime.value)
}

func (r *routeEstimate) addSample(sample time.Duration) {
	if r.trialInFlight {
		// The estimate had rejected all requests, and this one was served.
		r.meanProcessingTime.value = float64(sample)
		r.meanProcessingTime.initialGuess = float64(sample)
		r.meanProcessingTime.sampleCount = 0
		r.trialInFlight = false
	}
	r.meanProcessingTime.add(float64(sample))
}

func (s *Scheduler) estimateOf(request *Request) *routeEstimate {
	estimate := s.routeEstimates[request.Route]
	if estimate == nil {
		estimate = newRouteEstimate(request.Objective.Sub(request.ArrivedAt))
		s.routeEstimates[request.Route] = estimate
	}
	return estimate
}
