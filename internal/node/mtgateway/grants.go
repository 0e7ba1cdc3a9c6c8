package mtgateway

import (
	"slices"
	"sync"

	"github.com/mangotack/mangotack/internal/core/mtplacer"
)

// grants are the endpoints that one request was bound to, in order, with the figures of each choice; the mutex is a leaf.
type grants struct {
	mu  sync.Mutex
	all []mtplacer.Grant
}

func (g *grants) add(grant mtplacer.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, grant)
}

func (g *grants) list() []mtplacer.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.all)
}

// endpoints returns the IDs of the endpoints.
func (g *grants) endpoints() []string {
	var ids []string
	for _, grant := range g.list() {
		ids = append(ids, grant.Target.ID)
	}
	return ids
}
