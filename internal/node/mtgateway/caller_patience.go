package mtgateway

import (
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtpatience"
)

// callerPatience estimates the waiting times of callers by the name of the route; its mutex is a leaf.
type callerPatience struct {
	mu     sync.Mutex
	routes map[string]*mtpatience.Estimator
}

func newCallerPatience() *callerPatience {
	return &callerPatience{
		routes: map[string]*mtpatience.Estimator{},
	}
}

// sinceFirstAttempt returns how long ago the caller of a request that waits for a further time made its first attempt.
func (c *callerPatience) sinceFirstAttempt(route string, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	estimator := c.routes[route]
	if estimator == nil {
		estimator = &mtpatience.Estimator{}
		c.routes[route] = estimator
	}
	return estimator.Elapsed(remaining)
}
