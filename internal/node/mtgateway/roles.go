package mtgateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtclock"
	"github.com/mangotack/mangotack/internal/core/mtquotaview"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtstarvation"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// roleSelectionInterval is the time between two selections of roles, unless a changed row triggers one sooner.
	roleSelectionInterval = 250 * time.Millisecond
	// minRoleSelectionInterval is the shortest time between two selections: when all instances restart, the rows of
	// some hundred instances arrive within 100 ms.
	minRoleSelectionInterval = 20 * time.Millisecond
	// minProbingRequestRate is the number of requests a second below which an instance that is no receiver sends no
	// load probes: with so few requests, each probe would open a connection.
	minProbingRequestRate = 5
)

// receiverSet is the result of the last selection: the receivers, and the time for which callers may cache the answer
// that names them.
type receiverSet struct {
	receivers []mtsteering.Candidate
	answerTTL mtsteering.AnswerTTL
}

// wakeRoleSelection triggers the next selection of roles.
func (g *Gateway) wakeRoleSelection() {
	select {
	case g.roleSelectionWake <- struct{}{}:
	default:
	}
}

// runRoleSelection selects roles until the context ends.
func (g *Gateway) runRoleSelection(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	cpuStrain := mtstarvation.Detector{}
	clockSteps := mtclock.StepDetector{}
	due := time.Now()
	lastSelection := time.Time{}
	hasReadQuarantine := false
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			now = time.Now()
			cpuStrain.RecordTimer(due, now)
		case <-g.roleSelectionWake:
			now = time.Now()
			if remaining := minRoleSelectionInterval - now.Sub(lastSelection); remaining > 0 {
				due = now.Add(remaining)
				timer.Reset(remaining)
				continue
			}
		}
		lastSelection = now
		if step := clockSteps.Read(now); step != 0 {
			mtevent.WallClockStepped.Log(g.logger, logrus.Fields{
				"by": step.String(),
			})
		}
		g.lacksCPU.Store(cpuStrain.IsStarved(now))
		delay := roleSelectionInterval
		if remaining := g.selectRoles(now); remaining > 0 {
			delay = min(delay, remaining)
		}
		if g.currentStoreRole() == mtreplication.Reader && !hasReadQuarantine {
			hasReadQuarantine = true
			go g.readQuarantine(ctx)
		}
		if g.needsDiscovery(now) {
			go g.discoverPeers(ctx, now)
		}
		g.expireEndpoints(now)
		due = time.Now().Add(delay)
		timer.Reset(delay)
	}
}

// selectRoles selects the instances with a role; it returns how long this instance still waits for others before it
// takes a role.
func (g *Gateway) selectRoles(now time.Time) time.Duration {
	g.rolesMu.Lock()
	defer g.rolesMu.Unlock()
	candidates := g.candidates(now)
	g.startup.ObservePeers(len(candidates)-1, now)
	remaining := g.startup.Remaining(now)
	receivers := g.receiverSelection.Select(candidates, g.settings().Instance, now)
	readers := mtsteering.SelectReaders(candidates)
	isSelf := func(candidate mtsteering.Candidate) bool {
		return candidate.Name == g.settings().Instance
	}
	role := mtreplication.Listener
	switch rank := slices.IndexFunc(readers, isSelf); {
	case remaining > 0:
		// When all instances restart, each would otherwise read the store until it receives the rows of others.
	case rank == 0:
		role = mtreplication.Reader
	case rank == 1:
		role = mtreplication.Standby
	}
	changed := g.storeRole.Swap(int32(role)) != int32(role)
	rank, alive := mtsteering.SeniorityRank(candidates, g.settings().Instance)
	g.setFeedRanks(rank, alive)
	isReceiver := slices.ContainsFunc(receivers, isSelf)
	changed = g.isReceiver.Swap(isReceiver) != isReceiver || changed
	g.publishReceivers(receivers, now)
	fleet := mtsteering.FleetCounts{
		Receivers: len(receivers),
		Reachable: alive,
		Known:     g.mesh.CountNotLeaving(),
	}
	g.updateBudgetShares(isReceiver, fleet, now)
	g.updateLimitShares(receivers, fleet, now)
	owners := mtsteering.SelectQuotaOwners(candidates, mtquotaview.MaxOwners)
	g.updateQuotaFleet(len(receivers), isReceiver, owners, now)
	ownsQuotas := g.quotas.IsActive() && slices.ContainsFunc(owners, isSelf)
	changed = g.ownsQuotas.Swap(ownsQuotas) != ownsQuotas || changed
	if !changed {
		return remaining
	}
	mtevent.RolesChanged.Log(g.logger, logrus.Fields{
		"reads":    role.String(),
		"receives": isReceiver,
		"known":    len(candidates),
	})
	for _, f := range g.feeds.byNumber {
		f.notify()
	}
	g.mesh.SendHeartbeat(now)
	return remaining
}

// publishReceivers puts the receivers into the directory's answers.
func (g *Gateway) publishReceivers(receivers []mtsteering.Candidate, now time.Time) {
	next := &receiverSet{
		receivers: receivers,
	}
	if previous := g.receivers.Load(); previous != nil {
		next.answerTTL = previous.answerTTL
	}
	next.answerTTL.RecordReceivers(receivers, now)
	g.receivers.Store(next)
}

// needsDiscovery reports whether the store should be asked for the addresses of the other instances.
func (g *Gateway) needsDiscovery(now time.Time) bool {
	g.rolesMu.Lock()
	defer g.rolesMu.Unlock()
	return g.startup.ShouldReadAddresses(now)
}

func (g *Gateway) candidates(now time.Time) []mtsteering.Candidate {
	var candidates []mtsteering.Candidate
	for _, instance := range g.mesh.Instances(now) {
		row := instance.Row
		candidate := mtsteering.Candidate{
			Name:             row.GetInstance(),
			Centre:           row.GetCentre(),
			CallAddress:      row.GetCalls(),
			Epoch:            row.GetEpoch(),
			Cores:            float64(row.GetCapacity()),
			LinkMbps:         float64(row.GetLink()),
			TrafficMbps:      float64(row.GetTraffic()),
			RequestRate:      float64(row.GetRate()),
			Ready:            row.GetReady(),
			Leaving:          row.GetLeaving(),
			StoreUnreachable: row.GetCut(),
			FeedAge:          oldestFeedAge(row),
			CPUStarved:       row.GetStrained(),
			RelayAddress:     relayAddress(row),
			LostServices:     row.GetLost(),
			SinceHeartbeat:   instance.SinceHeartbeat,
		}
		if row.GetInstance() == g.settings().Instance {
			candidate.Ready = g.isReady()
			candidate.Leaving = g.leaving.Load()
			candidate.CPUStarved = g.lacksCPU.Load()
			candidate.LostServices = g.currentLostServices()
			candidate.SinceHeartbeat = 0
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// oldestFeedAge returns the age of the least recent feed of an instance, or 0 when it has none; the row of such an
// instance is not ready.
func oldestFeedAge(row *peerv1.Row) time.Duration {
	oldest := uint64(0)
	for _, standing := range row.GetStandings() {
		oldest = max(oldest, standing.GetAge())
	}
	return time.Duration(oldest) * time.Millisecond
}

// receiverAddresses returns the addresses for callers, and for how long callers may cache the answer.
func (g *Gateway) receiverAddresses(_, _ string) ([]string, time.Duration) {
	current := g.receivers.Load()
	if current == nil {
		return nil, 0
	}
	addresses := make([]string, 0, len(current.receivers))
	for _, receiver := range current.receivers {
		addresses = append(addresses, receiver.CallAddress)
	}
	return addresses, min(current.answerTTL.At(time.Now()), g.settings().Hold)
}

// updateBudgetShares sets this instance's shares of the retry budget and of the load probes.
func (g *Gateway) updateBudgetShares(isReceiver bool, fleet mtsteering.FleetCounts, now time.Time) {
	share := mtsteering.BudgetShareOf(isReceiver, fleet)
	g.retryBudgets.setSlack(share.SavedSlack*g.settings().RetrySlack, share.AccruedSlack*g.settings().RetrySlack, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxProbesPerSecond = share.Probes * g.settings().Probes
	if !isReceiver && g.requestRate.perSecond(now) < minProbingRequestRate {
		g.maxProbesPerSecond = 0
	}
	for _, placer := range g.placers {
		placer.SetProbeRate(g.maxProbesPerSecond)
	}
}
