package mtgateway

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// applyBatch brings the changes of a batch into force. The caller holds Gateway.applyMu from the acceptance of the
// batch on, so that batches come into force in the order of their offsets.
func (g *Gateway) applyBatch(batch mtreplication.Batch, source string, age time.Duration, now time.Time) {
	switch batch.Feed {
	case mtreplication.ConfigurationFeed:
		if batch.Era > firstEra {
			g.lostRecords.isRestored.Store(true)
		}
		// An instance is ready once it has a configuration, so it must know the evacuations before.
		g.applyEvacuations(batch, now)
		g.applyConfiguration(batch, source, age)
	case mtreplication.EndpointFeed:
		g.applyEndpoints(batch, now)
	}
	g.announceReadiness(now)
}

// announceReadiness tells the other instances once that this one is ready. They would learn with the next round of gossip that
// it can receive callers and help others.
func (g *Gateway) announceReadiness(now time.Time) {
	if g.isReady() && !g.announcedReady.Swap(true) {
		g.mesh.SendHeartbeat(now)
	}
}

func (g *Gateway) applyConfiguration(batch mtreplication.Batch, source string, age time.Duration) {
	for _, change := range batch.Changes {
		if _, isEvacuation := g.recordDecoder.DecodeEvacuation(change); isEvacuation {
			continue
		}
		table, isConfiguration, err := g.recordDecoder.DecodeConfiguration(change)
		if err != nil {
			g.logInvalidConfiguration(change, err)
			continue
		}
		if !isConfiguration {
			continue
		}
		era := batch.Era
		if change.Lost {
			era = change.Era
		}
		g.applyTable(table, change, era, source, age)
	}
}

// logInvalidConfiguration logs a configuration that can't be decoded, once however often it is read; the caller holds
// applyMu.
func (g *Gateway) logInvalidConfiguration(change mtreplication.Change, err error) {
	digest := sha256.Sum256(change.Value)
	if digest == g.loggedInvalidConfiguration {
		return
	}
	g.loggedInvalidConfiguration = digest
	mtevent.RecordUndecodable.Log(g.logger, logrus.Fields{
		"feed":    mtreplication.ConfigurationFeed.String(),
		"error":   err.Error(),
		"bytes":   len(change.Value),
		"digest":  hex.EncodeToString(digest[:loggedDigestBytes]),
		"inForce": g.versionInForce(),
	})
}

// loggedDigestBytes is the number of bytes by which log lines tell records apart.
const loggedDigestBytes = 6

// applyTable puts a configuration in force if it replaces the present one; the caller holds applyMu.
func (g *Gateway) applyTable(
	table *mtroute.Table, change mtreplication.Change, era uint64, source string, age time.Duration,
) {
	next := &configurationInForce{
		revision: mtroute.Revision{
			Version: table.Version,
			Era:     era,
			Digest:  sha256.Sum256(change.Value),
		},
		record: change,
	}
	current := g.inForce.Load()
	if current != nil {
		replaces, isConflict := next.revision.Replaces(current.revision)
		if !replaces {
			return
		}
		if isConflict {
			mtevent.ConfigurationConflict.Log(g.logger, logrus.Fields{
				"version": table.Version,
				"before":  hex.EncodeToString(current.revision.Digest[:]),
				"after":   hex.EncodeToString(next.revision.Digest[:]),
			})
		}
	}
	g.inForce.Store(next)
	g.routeTable.Store(table)
	g.metrics.setTenants(table.Tenants)
	g.configureWarmUps(time.Now())
	g.applyQuotaLimits(table, time.Now())
	mtevent.ConfigurationApplied.Log(g.logger, logrus.Fields{
		"version": table.Version,
		"routes":  table.Len(),
		"tenants": table.Tenants.Len(),
		"source":  source,
		"age":     age.String(),
	})
}

func (g *Gateway) applyEndpoints(batch mtreplication.Batch, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if resumedAt := g.endpointFeedResumedAt(); !resumedAt.IsZero() {
		g.registry.StoreInterrupted(resumedAt)
	}
	g.registry.BeginEra(batch.Era, now)
	presentIDs := map[string]bool{}
	for _, change := range batch.Changes {
		if change.Deleted {
			g.removeEndpoint(change.Key, now)
			continue
		}
		entry, err := g.recordDecoder.DecodeEndpoint(change)
		if err != nil {
			// A record of another writer names no usable endpoint; the known endpoints stay in use.
			mtevent.RecordUndecodable.Log(g.logger, logrus.Fields{
				"feed":  batch.Feed.String(),
				"error": err.Error(),
			})
			continue
		}
		presentIDs[entry.ID] = true
		g.logOutdatedEntry(entry)
		g.registry.Put(entry, now)
	}
	if batch.Snapshot {
		for _, id := range g.registry.Missing(presentIDs) {
			g.removeEndpoint(id, now)
		}
	}
	g.refreshTargets(now)
	if batch.Snapshot {
		g.endpointsLoaded.Store(true)
	}
	g.logUnknownZones()
}

// logOutdatedEntry logs an entry that was written before the one in use; the caller holds g.mu.
func (g *Gateway) logOutdatedEntry(entry mtregistry.Entry) {
	inUse, found := g.registry.EntryInUse(entry.ID)
	if !found || !entry.IsOlderThan(inUse) {
		return
	}
	mtevent.EndpointEntryOutdated.Log(g.logger, logrus.Fields{
		"endpoint": entry.ID,
		"born":     entry.Born,
		"seq":      entry.Seq,
		"draining": entry.Draining,
		"inUse": logrus.Fields{
			"born":     inUse.Born,
			"seq":      inUse.Seq,
			"draining": inUse.Draining,
		},
	})
}

func (g *Gateway) removeEndpoint(id string, now time.Time) {
	switch {
	case g.registry.Remove(id, now):
		mtevent.EndpointRemoved.Log(g.logger, logrus.Fields{
			"endpoint": id,
		})
	case g.registry.Has(id):
		mtevent.EndpointLapsed.Log(g.logger, logrus.Fields{
			"endpoint": id,
		})
	}
}

// endpointFeedResumedAt returns the end of the last interruption of the endpoints' feed, or the zero time.
func (g *Gateway) endpointFeedResumedAt() time.Time {
	g.feeds.mu.Lock()
	defer g.feeds.mu.Unlock()
	return g.feeds.byNumber[mtreplication.EndpointFeed].follower.ResumedAt()
}

// recordIncompleteStore records that the store may lack entries, so that missing endpoints may register again.
func (g *Gateway) recordIncompleteStore(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.StoreInterrupted(now)
}

// refreshTargets passes the registered endpoints to the placers; the caller holds g.mu.
func (g *Gateway) refreshTargets(now time.Time) {
	targetsByService := map[string][]*mtscheduler.Endpoint{}
	// The first list is logged as one line: otherwise a restart of all instances would write one line for each instance
	// and endpoint.
	isInitialLoad := !g.endpointsLoaded.Load()
	admitted := 0
	g.registry.ForEachEntry(func(entry mtregistry.Entry, warmAt time.Time) {
		target, isNew := g.targetFor(entry, now)
		if isNew {
			admitted++
		}
		if isNew && !isInitialLoad {
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
		target.WarmUpEnd = warmAt
		target.Draining = entry.Draining
		target.Evacuated = g.evacuations.IsEvacuated(target.Centre)
		g.applyWarmUpEntry(target, entry, warmAt, now)
		targetsByService[entry.Service] = append(targetsByService[entry.Service], target)
	})
	if isInitialLoad {
		mtevent.InitialEndpointsAdmitted.Log(g.logger, logrus.Fields{
			"count": admitted,
		})
	}
	for id := range g.targets {
		if !g.registry.Has(id) {
			g.retireTarget(g.targets[id], now)
			delete(g.targets, id)
			delete(g.loggedInvalidRetryAfter, id)
			delete(g.loggedInvalidLimits, id)
		}
	}
	for service, placer := range g.placers {
		placer.SetEndpoints(targetsByService[service])
	}
	for service, targets := range targetsByService {
		g.placerFor(service).SetEndpoints(targets)
	}
	g.dispatchAll(now)
}

// targetFor returns the target of an entry and whether the target is new; the caller holds g.mu. Requests in flight
// keep the target that they were sent to, so an endpoint that registers again as another process becomes a new target.
func (g *Gateway) targetFor(entry mtregistry.Entry, now time.Time) (*mtscheduler.Endpoint, bool) {
	existing := g.targets[entry.ID]
	if existing != nil && existing.Address == entry.Address && existing.Born == entry.Born {
		return existing, false
	}
	if existing != nil {
		g.retireTarget(existing, now)
	}
	target := g.resumedTarget(entry)
	if target == nil {
		target = &mtscheduler.Endpoint{
			ID:      entry.ID,
			Address: entry.Address,
			Centre:  entry.Centre,
			Born:    entry.Born,
		}
	}
	g.targets[entry.ID] = target
	return target, true
}

// retireTarget ends the use of a target that is no longer registered, also by requests that are assigned to it and not
// sent yet; the caller holds g.mu.
func (g *Gateway) retireTarget(target *mtscheduler.Endpoint, now time.Time) {
	target.Draining = true
	g.retired[processOf(target.ID, target.Born)] = retiredTarget{
		target: target,
		at:     now,
	}
	g.endpointPool.CloseIdle(target.Address)
}

// placerFor returns the placer of a service, which it creates on first use; the caller holds g.mu.
func (g *Gateway) placerFor(service string) *mtscheduler.Scheduler {
	placer := g.placers[service]
	if placer == nil {
		placer = mtscheduler.NewScheduler(
			g.settings().Centre,
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			mtscheduler.WithConnectionPool(g.endpointPool),
			mtscheduler.WithLink(g.link, g.linkBytesAhead),
		)
		placer.SetProbeRate(g.maxProbesPerSecond)
		g.placers[service] = placer
	}
	return placer
}

// expireEndpoints drops endpoints that did not register again after the store became reachable.
func (g *Gateway) expireEndpoints(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	expired := g.registry.ExpireLapsed(now)
	for _, id := range expired {
		mtevent.EndpointRemoved.Log(g.logger, logrus.Fields{
			"endpoint": id,
			"lapsed":   true,
		})
	}
	if len(expired) > 0 {
		g.refreshTargets(now)
	}
}
