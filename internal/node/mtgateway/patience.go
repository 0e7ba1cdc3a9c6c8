package mtgateway

import (
	"sync"
	"time"
)

// patienceLife is how long the longest wait of a route's callers is remembered.
const patienceLife = 10 * time.Second

// returnLeast is the part of the longest wait that must be missing before a caller counts as one that has come back.
const returnLeast = 0.03

// patience remembers the longest wait that the callers of each route have stated. A caller that comes back after a refusal
// states what is left of it, so the difference is the time since its first attempt.
type patience struct {
	mu     sync.Mutex
	routes map[string]*longest
}

type longest struct {
	wait time.Duration
	seen time.Time
}

func newPatience() *patience {
	return &patience{
		routes: map[string]*longest{},
	}
}

// waited returns how long ago the caller of a request made its first attempt.
func (p *patience) waited(route string, wait time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.routes[route]
	if found == nil {
		found = &longest{}
		p.routes[route] = found
	}
	if wait >= found.wait || now.Sub(found.seen) > patienceLife {
		found.wait = wait
		found.seen = now
		return 0
	}
	if missing := found.wait - wait; float64(missing) > returnLeast*float64(found.wait) {
		return missing
	}
	return 0
}
