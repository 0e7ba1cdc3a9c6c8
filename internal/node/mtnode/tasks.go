package mtnode

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

// entryService is the service name of the entry instances in the instance list.
const entryService = "mangotack"

// gossipRound adjusts the shares of limits and exchanges rows with a few peers.
func (n *Node) gossipRound(ctx context.Context, now time.Time) {
	var others []*peerv1.Row
	// The shares of a suspected instance are free, because its lease on them has expired: if it was only paused, it
	// drops them when it resumes.
	for _, row := range n.members.RowsInStates(now, mtmembership.Alive, mtmembership.Leaving) {
		if row.GetInstance() != n.settings.GetInstance() {
			others = append(others, row)
		}
	}
	shares := n.admission.Adjust(others, gossipInterval, now)
	applied, ready := n.state.NextOffset(), n.state.IsReady()
	n.members.UpdateSelf(func(self *peerv1.Row) {
		self.Shares = shares
		self.Applied = applied
		self.Ready = ready
	})
	n.members.ExchangeWithPeers(ctx, now)
}

// seedAddresses returns the control addresses of other instances, from the settings and from the instance list.
func (n *Node) seedAddresses() []string {
	seeds := append([]string{}, n.settings.GetSeeds()...)
	for _, entry := range n.instanceList.InstancesOf(entryService) {
		if entry.GetAddress() != n.settings.GetControl() {
			seeds = append(seeds, entry.GetAddress())
		}
	}
	return seeds
}

// refreshOnLogAdvance refreshes the router and the own row whenever a further offset of the log is applied.
func (n *Node) refreshOnLogAdvance(ctx context.Context) {
	for {
		advanced := n.state.Advanced()
		applied := n.state.NextOffset()
		n.members.UpdateSelf(func(self *peerv1.Row) {
			self.Applied = applied
		})
		n.refreshRouter(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-advanced:
		}
	}
}

// refreshRouter passes the services, their endpoints and their assigned instances to the router.
//
// One refresh runs at a time, so that an older one never overwrites a newer one.
func (n *Node) refreshRouter(now time.Time) {
	n.refreshMu.Lock()
	defer n.refreshMu.Unlock()
	n.knownInstances.Store(int64(len(n.members.Rows())))
	rules := n.state.Rules()
	assignedTo := n.assigner.SnapshotAt(now)
	for name, service := range rules.Services() {
		n.router.UpdateService(mtrouter.ServiceUpdate{
			Service:           service,
			Endpoints:         n.instanceList.InstancesOf(name),
			IsLeaving:         rules.IsLeaving,
			AssignedInstances: assignedTo(name),
		}, now)
	}
}

// flushClaims appends the pending claims. With more instances each of them appends less often, so that all of them
// together make about 200 appends a second.
func (n *Node) flushClaims(ctx context.Context, _ time.Time) {
	n.claimFlushTicks++
	if n.claimFlushTicks%(1+n.knownInstanceCount()/instancesPerFlushTick) == 0 {
		n.claimer.Flush(ctx)
	}
}

// aliveRank returns the index of this instance among the alive ones, or the number of known instances if it is not
// alive.
func (n *Node) aliveRank(now time.Time) int {
	for i, row := range n.members.RowsInStates(now, mtmembership.Alive) {
		if row.GetInstance() == n.settings.GetInstance() {
			return i
		}
	}
	return n.knownInstanceCount()
}

// EndpointStatuses returns the status of all endpoints as this instance sees them.
func (n *Node) EndpointStatuses(now time.Time) []*entryv1.EndpointStatus {
	var result []*entryv1.EndpointStatus
	leads := map[string]map[string]string{}
	assignedTo := n.assigner.SnapshotAt(now)
	for name := range n.state.Rules().Services() {
		leads[name] = mtrendezvous.ChooseLeads(mtrouter.Places(n.instanceList.InstancesOf(name)), assignedTo(name))
	}
	n.router.VisitEndpoints(func(service string, endpoint *mtendpoint.Endpoint) {
		status := &entryv1.EndpointStatus{
			Name:     endpoint.Name,
			Service:  service,
			Centre:   endpoint.Centre,
			State:    endpoint.State(now),
			Inflight: uint32(endpoint.Inflight()),
			Running:  endpoint.EstimatedLoad(now),
			Lead:     leads[service][endpoint.Name],
		}
		if reported := endpoint.LastReportAt(); !reported.IsZero() {
			status.Age = durationpb.New(now.Sub(reported))
		}
		result = append(result, status)
	})
	return result
}

// registerGauges registers the gauges whose values are read from the tables.
func (n *Node) registerGauges() {
	n.metrics.AddGauge("mangotack_log_applied_offset", func() float64 {
		return float64(n.state.NextOffset())
	})
	n.metrics.AddGauge("mangotack_log_age_seconds", func() float64 {
		return n.state.TimeSinceConfirmed(time.Now()).Seconds()
	})
	n.metrics.AddGauge("mangotack_keys", func() float64 {
		return float64(n.keys.Len())
	})
	n.metrics.AddGauge("mangotack_waiting_calls", func() float64 {
		return float64(n.router.WaitingCalls())
	})
	n.metrics.AddGauge("mangotack_gossip_bytes_total", func() float64 {
		return float64(n.members.GossipBytes())
	})
	n.metrics.AddGauge("mangotack_known_instances", func() float64 {
		return float64(n.knownInstanceCount())
	})
}
