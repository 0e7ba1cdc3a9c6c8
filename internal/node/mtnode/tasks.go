package mtnode

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtmember"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

// entryService is the name under which the instance list has the entry instances.
const entryService = "mangotack"

// gossip adjusts the shares of limits and exchanges rows with a few peers.
func (n *Node) gossip(ctx context.Context, now time.Time) {
	var others []*peerv1.Row
	// A suspected instance has lost its lease on its parts of limits: if it was only paused, it drops them when it wakes up.
	for _, row := range n.members.Live(now, mtmember.Alive, mtmember.Leaving) {
		if row.GetInstance() != n.settings.GetInstance() {
			others = append(others, row)
		}
	}
	shares := n.admission.Adjust(others, gossipPeriod, now)
	applied, ready := n.state.Applied(), n.state.IsReady()
	n.members.Fill(func(self *peerv1.Row) {
		self.Shares = shares
		self.Applied = applied
		self.Ready = ready
	})
	n.members.Round(ctx, now)
}

// seeds joins the control addresses of the settings and of the instance list.
func (n *Node) seeds() []string {
	seeds := append([]string{}, n.settings.GetSeeds()...)
	for _, line := range n.list.Of(entryService) {
		if line.GetAddress() != n.settings.GetControl() {
			seeds = append(seeds, line.GetAddress())
		}
	}
	return seeds
}

// followLog brings changes into force as soon as they are applied.
func (n *Node) followLog(ctx context.Context) {
	for {
		moved := n.state.Moved()
		applied := n.state.Applied()
		n.members.Fill(func(self *peerv1.Row) {
			self.Applied = applied
		})
		n.refresh(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-moved:
		}
	}
}

// refresh hands the services, their endpoints and their crews to the router.
//
// One refresh runs at a time, so that an older one never overwrites a newer one.
func (n *Node) refresh(now time.Time) {
	n.refreshing.Lock()
	defer n.refreshing.Unlock()
	n.known.Store(int64(len(n.members.Known())))
	rules := n.state.Rules()
	crewOf := n.crews.SnapshotAt(now)
	for name, service := range rules.Services() {
		n.router.Update(mtrouter.Update{
			Service:   service,
			Endpoints: n.list.Of(name),
			Leaving:   rules.IsLeaving,
			Crew:      crewOf(name),
		}, now)
	}
}

// flushClaims appends the claims that wait; in a larger fleet each instance appends less often, so that all together stay
// at some two hundred appends a second.
func (n *Node) flushClaims(ctx context.Context, _ time.Time) {
	n.claimTicks++
	if n.claimTicks%(1+n.memberCount()/claimSharers) == 0 {
		n.claimer.Flush(ctx)
	}
}

// rank returns the place of this instance among the live ones.
func (n *Node) rank(now time.Time) int {
	for i, row := range n.members.Live(now, mtmember.Alive) {
		if row.GetInstance() == n.settings.GetInstance() {
			return i
		}
	}
	return n.memberCount()
}

// Status describes the endpoints as this instance sees them.
func (n *Node) Status(now time.Time) []*entryv1.EndpointStatus {
	var result []*entryv1.EndpointStatus
	leads := map[string]map[string]string{}
	crewOf := n.crews.SnapshotAt(now)
	for name := range n.state.Rules().Services() {
		leads[name] = mtcrew.Leads(mtrouter.Places(n.list.Of(name)), crewOf(name))
	}
	n.router.VisitEndpoints(func(service string, endpoint *mtendpoint.Endpoint) {
		status := &entryv1.EndpointStatus{
			Name:     endpoint.Name,
			Service:  service,
			Centre:   endpoint.Centre,
			State:    endpoint.State(now),
			Inflight: uint32(endpoint.Inflight()),
			Running:  endpoint.Busy(now),
			Lead:     leads[service][endpoint.Name],
		}
		if reported := endpoint.Reported(); !reported.IsZero() {
			status.Age = durationpb.New(now.Sub(reported))
		}
		result = append(result, status)
	})
	return result
}

func (n *Node) addGauges() {
	n.meter.Gauge("mangotack_log_applied_offset", func() float64 {
		return float64(n.state.Applied())
	})
	n.meter.Gauge("mangotack_log_age_seconds", func() float64 {
		return n.state.Age(time.Now()).Seconds()
	})
	n.meter.Gauge("mangotack_keys", func() float64 {
		return float64(n.keys.Len())
	})
	n.meter.Gauge("mangotack_waiting_calls", func() float64 {
		return float64(n.router.WaitingCalls())
	})
	n.meter.Gauge("mangotack_gossip_bytes_total", func() float64 {
		return float64(n.members.Bytes())
	})
	n.meter.Gauge("mangotack_known_instances", func() float64 {
		return float64(n.memberCount())
	})
}
