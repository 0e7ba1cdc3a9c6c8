// The load pattern: an instance that callers are not sent to gets a request now and then. Each at another endpoint, they would open a
// connection each, which costs the endpoint time, and the request two ways to it and back.

package mtplacer

// dialCost is the extra cost of an endpoint to which a connection must be opened first, as a part of the estimate: less than that of
// a second request at an endpoint, more than what is drawn and what distance costs.
const dialCost = 0.2

// connections tells which addresses a connection is open to that a request can use.
type connections interface {
	HasIdle(address string) bool
}

// Option changes a new placer.
type Option func(*Placer)

// WithConnections makes an instance that looks nothing up keep to endpoints that it is connected to.
func WithConnections(open connections) Option {
	return func(p *Placer) {
		p.connections = open
	}
}

// dialCostOf returns the extra cost of opening a connection to an endpoint, as a part of the estimate. An instance that looks figures
// up has connections to most endpoints, and chooses by the figures.
func (p *Placer) dialCostOf(target *Target) float64 {
	if p.connections == nil || p.looks > 0 || p.connections.HasIdle(target.Address) {
		return 0
	}
	return dialCost
}
