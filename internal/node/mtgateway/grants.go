package mtgateway

import (
	"slices"
	"sync"

	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// grantList lists the grants of one request in order, with the load figures behind each choice; the mutex is a leaf.
type grantList struct {
	mu     sync.Mutex
	grants []mtscheduler.Assignment
}

func (g *grantList) add(grant mtscheduler.Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants = append(g.grants, grant)
}

func (g *grantList) snapshot() []mtscheduler.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.grants)
}

// endpointIDs returns the IDs of the granted endpoints.
func (g *grantList) endpointIDs() []string {
	var ids []string
	for _, grant := range g.snapshot() {
		ids = append(ids, grant.Endpoint.ID)
	}
	return ids
}
