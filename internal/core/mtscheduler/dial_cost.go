// The load pattern: an instance that callers are not sent to gets an occasional request. If each went to another
// endpoint, each would open a connection, which takes time at the endpoint and adds two round trips to the request.

package mtscheduler

// dialCostRatio is the extra cost of an endpoint to which a connection must be opened first, as a ratio of the
// estimate: less than that of a second request at an endpoint, more than the random part of the cost and the cost of
// another data centre.
const dialCostRatio = 0.2

// connectionPool reports the addresses to which an idle connection is open.
type connectionPool interface {
	HasIdleConnection(address string) bool
}

// Option configures a new scheduler.
type Option func(*Scheduler)

// WithConnectionPool makes an instance that sends no probes prefer endpoints that it has idle connections to.
func WithConnectionPool(pool connectionPool) Option {
	return func(s *Scheduler) {
		s.connectionPool = pool
	}
}

// dialCost returns the extra cost of opening a connection to an endpoint, as a ratio of the estimate. An instance that
// sends probes has connections to most endpoints, and chooses by their reports.
func (s *Scheduler) dialCost(endpoint *Endpoint) float64 {
	if s.connectionPool == nil || s.probeRate > 0 || s.connectionPool.HasIdleConnection(endpoint.Address) {
		return 0
	}
	return dialCostRatio
}
