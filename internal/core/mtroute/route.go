package mtroute

import (
	"sync/atomic"
	"time"
)

// MaxAttempts bounds the endpoints that one request may be sent to, whatever its route states.
const MaxAttempts = 64

// Route is the configuration of the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout bounds the time for which a request may wait, or is 0 without a bound.
	Timeout time.Duration
	// Objective is the latency goal, the time within which an answer is worth most, or 0 without one.
	Objective time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints that one request may be sent to; NewTable bounds it by MaxAttempts.
	Attempts int
	// AllowAnonymous is set when requests need no key although the configuration has tenants.
	AllowAnonymous bool
	// Parts are the services over which the requests of the route are split.
	Parts []WeightedService

	picks atomic.Uint64
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// goldenRatioFraction is the fractional part of the golden ratio; its multiples modulo 1 are spread evenly.
const goldenRatioFraction = 0.6180339887498949

// PickService returns the service of the next request.
//
// A low-discrepancy sequence keeps the fractions close to the weights also over few requests.
func (r *Route) PickService() string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	sum := 0.0
	for _, part := range r.Parts {
		sum += part.Weight
	}
	point := float64(r.picks.Add(1)) * goldenRatioFraction
	point = (point - float64(int64(point))) * sum
	for _, part := range r.Parts {
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
	}
	return r.Parts[len(r.Parts)-1].Service
}
