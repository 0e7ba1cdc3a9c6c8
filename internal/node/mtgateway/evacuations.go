// A record in the configuration feed asks that nothing more is sent to a zone. It takes effect here with the feed, and instances
// that start know it before they are ready.

package mtgateway

import (
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtevacuation"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// applyEvacuations brings the evacuations of a batch of the configuration feed into force; the caller holds applyMu.
func (g *Gateway) applyEvacuations(batch mtreplication.Batch, now time.Time) {
	var statements []mtevacuation.Statement
	for _, change := range batch.Changes {
		zone, found := g.recordDecoder.DecodeEvacuation(change)
		if !found {
			continue
		}
		statement := mtevacuation.Statement{
			Key:  change.Key,
			Zone: zone,
			// A snapshot may contain a removed key without a value.
			Evacuated: !change.Deleted && len(change.Value) > 0,
			IsLost:    change.Lost,
			Era:       batch.Era,
			Value:     change.Value,
		}
		if change.Lost {
			statement.Era = change.Era
		}
		statements = append(statements, statement)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wasLost := lostZones(g.evacuations, batch.Era)
	changes := g.evacuations.Apply(statements, batch.Snapshot, batch.Era)
	for _, change := range changes {
		event := mtevent.EvacuationEnded
		if change.Evacuated {
			event = mtevent.ZoneEvacuated
		} else {
			delete(g.loggedUnknownZones, change.Zone)
		}
		event.Log(g.logger, logrus.Fields{
			"zone": change.Zone,
		})
	}
	if batch.Snapshot {
		g.logLostEvacuations(wasLost, batch.Era)
	}
	if len(changes) == 0 {
		return
	}
	for _, target := range g.targets {
		wasEvacuated := target.Evacuated
		target.Evacuated = g.evacuations.IsEvacuated(target.Centre)
		if wasEvacuated && !target.Evacuated {
			g.shareWarmUp(target, now)
			target.WarmUp.RecordReturn(now)
		}
	}
	g.logUnknownZones()
	g.dispatchAll(now)
}

func lostZones(set *mtevacuation.Set, era uint64) []string {
	var zones []string
	for _, statement := range set.Lost(era) {
		zones = append(zones, statement.Zone)
	}
	return zones
}

// logLostEvacuations logs the evacuations whose records the store lost when it was restored; before are those that a
// snapshot of the era could have stated, and did not if they are still lost. The caller holds g.mu.
func (g *Gateway) logLostEvacuations(before []string, era uint64) {
	for _, zone := range lostZones(g.evacuations, era) {
		if slices.Contains(before, zone) {
			mtevent.EvacuationLost.Log(g.logger, logrus.Fields{
				"zone": zone,
				"era":  era,
			})
		}
	}
}

// logUnknownZones logs the evacuated zones that no endpoint names, once the endpoints are known; the caller holds g.mu.
func (g *Gateway) logUnknownZones() {
	if !g.endpointsLoaded.Load() {
		return
	}
	for _, zone := range g.evacuations.Zones() {
		if g.loggedUnknownZones[zone] || g.hasEndpointIn(zone) {
			continue
		}
		g.loggedUnknownZones[zone] = true
		mtevent.EvacuatedZoneUnknown.Log(g.logger, logrus.Fields{
			"zone": zone,
		})
	}
}

// hasEndpointIn reports whether any endpoint names a zone; the caller holds g.mu.
func (g *Gateway) hasEndpointIn(zone string) bool {
	for _, target := range g.targets {
		if target.Centre == zone {
			return true
		}
	}
	return false
}

// isEvacuated reports whether the zone of an endpoint is evacuated.
func (g *Gateway) isEvacuated(endpoint *mtscheduler.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return endpoint.Evacuated
}

// countEvacuatedEndpoints returns the number of endpoints in evacuated zones.
func (g *Gateway) countEvacuatedEndpoints() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, target := range g.targets {
		if target.Evacuated {
			count++
		}
	}
	return count
}

// evacuationsInForce returns what is stated about the zones that are evacuated.
func (g *Gateway) evacuationsInForce() []mtevacuation.Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.Lost(math.MaxUint64)
}

// lostEvacuations returns the records of evacuations in force that were read before an era, which the store may have lost.
func lostEvacuations(inForce []mtevacuation.Statement, era uint64) []*peerv1.Change {
	var lost []*peerv1.Change
	for _, statement := range inForce {
		if statement.Era < era {
			lost = append(lost, &peerv1.Change{
				Key:   statement.Key,
				Value: statement.Value,
				Lost:  true,
				Era:   statement.Era,
			})
		}
	}
	return lost
}
