package mtgateway

import (
	"sync"
	"time"
)

// callerTimeoutLifetime is how long the longest timeout of a route's callers is remembered.
const callerTimeoutLifetime = 10 * time.Second

// minElapsedRatio is the part of the longest timeout that must have elapsed before a request counts as a retry by its
// caller.
const minElapsedRatio = 0.03

// callerTimeouts remembers the longest timeout that the callers of each route have sent. A caller that retries after a
// refusal sends its remaining time, so the difference is the time since its first attempt.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*longestTimeout
}

type longestTimeout struct {
	timeout  time.Duration
	observed time.Time
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{
		routes: map[string]*longestTimeout{},
	}
}

// sinceFirstAttempt returns how long ago the caller of a request made its first attempt.
func (c *callerTimeouts) sinceFirstAttempt(route string, timeout time.Duration, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.routes[route]
	if longest == nil {
		longest = &longestTimeout{}
		c.routes[route] = longest
	}
	if timeout >= longest.timeout || now.Sub(longest.observed) > callerTimeoutLifetime {
		longest.timeout = timeout
		longest.observed = now
		return 0
	}
	if elapsed := longest.timeout - timeout; float64(elapsed) > minElapsedRatio*float64(longest.timeout) {
		return elapsed
	}
	return 0
}
