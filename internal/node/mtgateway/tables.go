package mtgateway

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtnews"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
)

// apply brings the changes of a batch into force. Gateway.applying is held since the batch was accepted, so that batches come
// into force in the order of their offsets.
func (g *Gateway) apply(batch mtnews.Batch, source string, age time.Duration, now time.Time) {
	switch batch.Feed {
	case mtnews.Configuration:
		g.applyConfiguration(batch, source, age)
	case mtnews.Endpoints:
		g.applyEndpoints(batch, now)
	}
}

func (g *Gateway) applyConfiguration(batch mtnews.Batch, source string, age time.Duration) {
	for _, change := range batch.Changes {
		table, found, err := g.formats.Configuration(change)
		if err != nil {
			mtevent.RecordUnread.Log(g.logger, logrus.Fields{
				"feed":  batch.Feed.String(),
				"error": err.Error(),
			})
			continue
		}
		if !found {
			continue
		}
		current := g.table.Load()
		if current == nil || table.Version > current.Version {
			g.table.Store(table)
			mtevent.ConfigurationApplied.Log(g.logger, logrus.Fields{
				"version": table.Version,
				"routes":  table.Len(),
				"source":  source,
				"age":     age.String(),
			})
		}
	}
}

func (g *Gateway) applyEndpoints(batch mtnews.Batch, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := map[string]bool{}
	for _, change := range batch.Changes {
		if change.Gone {
			g.removeEndpoint(change.Key, now)
			continue
		}
		entry, err := g.formats.Endpoint(change)
		if err != nil {
			// An entry of another writer names no endpoint to use; the endpoints that are known hold.
			mtevent.RecordUnread.Log(g.logger, logrus.Fields{
				"feed":  batch.Feed.String(),
				"error": err.Error(),
			})
			continue
		}
		present[entry.ID] = true
		g.registry.Put(entry, now)
	}
	if batch.Whole {
		g.registry.Retain(present, now)
	}
	g.refreshTargets(now)
	if batch.Whole {
		g.haveEndpoints.Store(true)
	}
}

func (g *Gateway) removeEndpoint(id string, now time.Time) {
	if g.registry.Remove(id, now) {
		mtevent.EndpointGone.Log(g.logger, logrus.Fields{
			"endpoint": id,
		})
	}
}

// interrupted records that the store could not be read, so that missing endpoints may come back.
func (g *Gateway) interrupted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.Interrupted(now)
}

// refreshTargets hands the registered endpoints to the placers; the mutex is held.
func (g *Gateway) refreshTargets(now time.Time) {
	lists := map[string][]*mtplacer.Target{}
	// The first list is told in one line: a restart of a whole fleet would write one for each instance and endpoint.
	isFirst := !g.haveEndpoints.Load()
	admitted := 0
	g.registry.Entries(func(entry mtregistry.Entry, warm time.Time) {
		target, isNew := g.targetOf(entry)
		if isNew {
			admitted++
		}
		if isNew && !isFirst {
			mtevent.EndpointAdmitted.Log(g.logger, logrus.Fields{
				"endpoint": entry.ID,
				"service":  entry.Service,
				"address":  entry.Address,
				"slots":    entry.Slots,
			})
		}
		if entry.Draining && !target.Draining {
			mtevent.EndpointDraining.Log(g.logger, logrus.Fields{
				"endpoint": entry.ID,
			})
		}
		target.Slots = entry.Slots
		target.Warm = warm
		target.Draining = entry.Draining
		lists[entry.Service] = append(lists[entry.Service], target)
	})
	if isFirst {
		mtevent.EndpointsAdmitted.Log(g.logger, logrus.Fields{
			"count": admitted,
		})
	}
	for id := range g.targets {
		if !g.registry.Has(id) {
			g.pool.Drop(g.targets[id].Address)
			delete(g.targets, id)
			delete(g.unreadRests, id)
		}
	}
	for service, placer := range g.placers {
		placer.SetTargets(lists[service])
	}
	for service, list := range lists {
		g.placer(service).SetTargets(list)
	}
	g.pumpAll(now)
}

// targetOf returns the target of an entry and whether it is a new one; the mutex is held. Requests under way keep the target that
// they were sent to, so that an endpoint that comes back as another process is a new target.
func (g *Gateway) targetOf(entry mtregistry.Entry) (*mtplacer.Target, bool) {
	known := g.targets[entry.ID]
	if known != nil && known.Address == entry.Address && known.Born == entry.Born {
		return known, false
	}
	if known != nil {
		g.pool.Drop(known.Address)
	}
	target := &mtplacer.Target{
		ID:      entry.ID,
		Address: entry.Address,
		Centre:  entry.Centre,
		Born:    entry.Born,
	}
	g.targets[entry.ID] = target
	return target, true
}

// placer returns the placer of a service; the mutex is held.
func (g *Gateway) placer(service string) *mtplacer.Placer {
	found := g.placers[service]
	if found == nil {
		found = mtplacer.NewPlacer(g.settings().Centre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), mtplacer.WithConnections(g.pool))
		found.SetLooks(g.looks)
		g.placers[service] = found
	}
	return found
}

// expire drops endpoints that did not register again after the store's return.
func (g *Gateway) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gone := g.registry.Expire(now)
	for _, id := range gone {
		mtevent.EndpointGone.Log(g.logger, logrus.Fields{
			"endpoint": id,
			"lapsed":   true,
		})
	}
	if len(gone) > 0 {
		g.refreshTargets(now)
	}
}
