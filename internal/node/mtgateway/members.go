package mtgateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtnews"
)

// meet records where the instances are, for those whose seeds are stale, and looks there while it knows nobody.
func (g *Gateway) meet(ctx context.Context, now time.Time) {
	var known []string
	for _, standing := range g.mesh.Standings(now) {
		known = append(known, standing.Row.GetMesh())
	}
	if len(known) > 1 {
		g.recordMembers(ctx, known, now)
		return
	}
	if now.Sub(g.met) < g.meetPause {
		return
	}
	g.met = now
	g.meetPause = min(2*g.meetPause, meetMost)
	batch, err := g.store.Newest(ctx, mtnews.Members)
	g.meter.storeCall(mtnews.Members, err)
	if err != nil {
		g.logger.WithError(err).Debug("members not read from the store")
		return
	}
	for _, change := range batch.Changes {
		var addresses []string
		if err := json.Unmarshal(change.Value, &addresses); err != nil {
			g.logger.WithError(err).Debug("record of the members can't be read")
			continue
		}
		g.mesh.AddSeeds(addresses, now)
	}
}

// recordMembers writes the addresses of all instances when they have changed; one instance does so.
func (g *Gateway) recordMembers(ctx context.Context, known []string, now time.Time) {
	if g.role() != mtnews.Reader || now.Sub(g.recorded) < recordGap {
		return
	}
	value, err := json.Marshal(known)
	if err != nil || string(value) == g.record {
		return
	}
	g.recorded = now
	err = g.store.Append(ctx, mtnews.Members, memberKey, value)
	g.meter.storeCall(mtnews.Members, err)
	if err != nil {
		g.logger.WithError(err).Debug("members not written to the store")
		return
	}
	g.record = string(value)
}

const (
	// meetFirst and meetMost bound the pause between two looks for instances in the store.
	meetFirst = 1500 * time.Millisecond
	meetMost  = 8 * time.Second
	// recordGap is the shortest time between two records of the members.
	recordGap = 6 * time.Second
	// memberKey is the key under which the addresses of the members stand.
	memberKey = "mesh"
)
