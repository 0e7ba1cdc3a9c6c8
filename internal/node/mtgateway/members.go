package mtgateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtmesh"
	"github.com/mangotack/mangotack/internal/core/mtnews"
)

// meet records where the instances are, for those whose seeds are stale, and looks there while it knows nobody.
func (g *Gateway) meet(ctx context.Context, now time.Time) {
	standings := g.mesh.Standings(now)
	if len(standings) > 1 {
		g.recordMembers(ctx, recordOf(standings), now)
		return
	}
	if now.Sub(g.met) < g.meetPause {
		return
	}
	g.met = now
	g.meetPause = min(2*g.meetPause, meetMost)
	g.lookAround(ctx, now)
}

// lookAround sends the own row to the instances that the store knows of.
func (g *Gateway) lookAround(ctx context.Context, now time.Time) {
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

// recordOf returns the addresses of the strongest instances, which are the first that others want to find.
func recordOf(standings []mtmesh.Standing) []string {
	slices.SortFunc(standings, func(a, b mtmesh.Standing) int {
		return cmp.Or(cmp.Compare(b.Row.GetCapacity(), a.Row.GetCapacity()), strings.Compare(a.Row.GetMesh(), b.Row.GetMesh()))
	})
	var known []string
	for _, standing := range standings[:min(len(standings), recordMost)] {
		known = append(known, standing.Row.GetMesh())
	}
	return known
}

// recordMembers writes the addresses of instances when they have changed; one instance does so.
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
	// recordMost is the number of instances in a record: enough that some of them live, few enough to write to at a start.
	recordMost = 24
	// memberKey is the key under which the addresses of the members stand.
	memberKey = "mesh"
)
