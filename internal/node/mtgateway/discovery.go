package mtgateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtmesh"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
)

// maintainMembers stores the addresses of the instances, for those whose seeds are stale, and reads them from the store
// while this instance knows no other.
func (g *Gateway) maintainMembers(ctx context.Context, now time.Time) {
	instances := g.mesh.Instances(now)
	if len(instances) > 1 {
		g.writeMembers(ctx, memberAddresses(instances), now)
		return
	}
	if now.Sub(g.lastDiscovery) < g.discoveryInterval {
		return
	}
	g.lastDiscovery = now
	g.discoveryInterval = min(2*g.discoveryInterval, maxDiscoveryInterval)
	g.discoverPeers(ctx, now)
}

// discoverPeers adds the addresses that the store records to the seeds of the mesh, and sends them the row of this
// instance.
func (g *Gateway) discoverPeers(ctx context.Context, now time.Time) {
	batch, err := g.store.ReadNewest(ctx, mtreplication.MemberFeed)
	g.metrics.countStoreCall(mtreplication.MemberFeed, err)
	if err != nil {
		g.logger.WithError(err).Debug("could not read members from the store")
		return
	}
	for _, change := range batch.Changes {
		if change.Key != membersKey {
			continue
		}
		var addresses []string
		if err := json.Unmarshal(change.Value, &addresses); err != nil {
			g.logger.WithError(err).Debug("could not decode a record of members; skipping it")
			continue
		}
		g.mesh.AddSeeds(addresses, now)
	}
}

// memberAddresses returns the mesh addresses of the instances with the highest capacity, which other instances need to
// find first.
func memberAddresses(instances []mtmesh.Instance) []string {
	slices.SortFunc(instances, func(a, b mtmesh.Instance) int {
		return cmp.Or(
			cmp.Compare(b.Row.GetCapacity(), a.Row.GetCapacity()),
			strings.Compare(a.Row.GetMesh(), b.Row.GetMesh()),
		)
	})
	var addresses []string
	for _, instance := range instances[:min(len(instances), maxRecordedMembers)] {
		addresses = append(addresses, instance.Row.GetMesh())
	}
	return addresses
}

// writeMembers writes the addresses of the instances to the store when they have changed or the store may have lost them; only the instance that reads
// the store does so.
func (g *Gateway) writeMembers(ctx context.Context, addresses []string, now time.Time) {
	if g.currentStoreRole() != mtreplication.Reader || now.Sub(g.membersWritten) < minMembersWriteInterval {
		return
	}
	value, err := json.Marshal(addresses)
	era := g.feeds.latestEra()
	if err != nil || string(value) == g.lastMembersRecord && era == g.lastMembersEra {
		return
	}
	g.membersWritten = now
	err = g.store.Append(ctx, mtreplication.MemberFeed, membersKey, value)
	g.metrics.countStoreCall(mtreplication.MemberFeed, err)
	if err != nil {
		g.logger.WithError(err).Debug("could not write members to the store")
		return
	}
	g.lastMembersRecord = string(value)
	g.lastMembersEra = era
}

const (
	// minDiscoveryInterval and maxDiscoveryInterval bound the backoff between two reads of the members from the store.
	minDiscoveryInterval = 1500 * time.Millisecond
	maxDiscoveryInterval = 8 * time.Second
	// minMembersWriteInterval is the shortest time between two writes of the members.
	minMembersWriteInterval = 6 * time.Second
	// maxRecordedMembers is the number of instances in a record: enough that some of them are alive, and few enough
	// that a starting instance can send to all of them.
	maxRecordedMembers = 24
	// membersKey is the key of the members' addresses in the store.
	membersKey = "mesh"
)
