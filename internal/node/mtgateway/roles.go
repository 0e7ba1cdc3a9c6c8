package mtgateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtclock"
	"github.com/mangotack/mangotack/internal/core/mtnews"
	"github.com/mangotack/mangotack/internal/core/mtsteer"
	"github.com/mangotack/mangotack/internal/core/mtstrain"
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
	receivers []mtsteer.Candidate
	answerTTL mtsteer.Hold
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
	cpuStrain := mtstrain.Strain{}
	clockSteps := mtclock.Steps{}
	due := time.Now()
	lastSelection := time.Time{}
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			now = time.Now()
			cpuStrain.Woke(due, now)
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
			mtevent.ClockStepped.Log(g.logger, logrus.Fields{
				"by": step.String(),
			})
		}
		g.lacksCPU.Store(cpuStrain.IsStrained(now))
		delay := roleSelectionInterval
		if remaining := g.selectRoles(now); remaining > 0 {
			delay = min(delay, remaining)
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
	g.startup.Heard(len(candidates)-1, now)
	remaining := g.startup.Left(now)
	receivers := g.receiverSelection.Choose(candidates, g.settings().Instance, now)
	readers := mtsteer.Readers(candidates)
	isSelf := func(candidate mtsteer.Candidate) bool {
		return candidate.Name == g.settings().Instance
	}
	role := mtnews.Listener
	switch rank := slices.IndexFunc(readers, isSelf); {
	case remaining > 0:
		// When all instances restart, each would otherwise read the store until it receives the rows of others.
	case rank == 0:
		role = mtnews.Reader
	case rank == 1:
		role = mtnews.Standby
	}
	changed := g.storeRole.Swap(int32(role)) != int32(role)
	rank, alive := mtsteer.Place(candidates, g.settings().Instance)
	g.setFeedRanks(rank, alive)
	isReceiver := slices.ContainsFunc(receivers, isSelf)
	changed = g.isReceiver.Swap(isReceiver) != isReceiver || changed
	g.publishReceivers(receivers, now)
	g.updateBudgetShares(isReceiver, mtsteer.Fleet{
		Receivers: len(receivers),
		Heard:     alive,
		Known:     g.mesh.Fleet(),
	}, now)
	if !changed {
		return remaining
	}
	mtevent.RoleChanged.Log(g.logger, logrus.Fields{
		"reads":    role.String(),
		"receives": isReceiver,
		"known":    len(candidates),
	})
	for _, f := range g.feeds.byNumber {
		f.notify()
	}
	g.mesh.Beat(now)
	return remaining
}

// publishReceivers puts the receivers into the directory's answers.
func (g *Gateway) publishReceivers(receivers []mtsteer.Candidate, now time.Time) {
	next := &receiverSet{
		receivers: receivers,
	}
	if previous := g.receivers.Load(); previous != nil {
		next.answerTTL = previous.answerTTL
	}
	next.answerTTL.Named(receivers, now)
	g.receivers.Store(next)
}

// needsDiscovery reports whether the store should be asked for the addresses of the other instances.
func (g *Gateway) needsDiscovery(now time.Time) bool {
	g.rolesMu.Lock()
	defer g.rolesMu.Unlock()
	return g.startup.LooksAround(now)
}

func (g *Gateway) candidates(now time.Time) []mtsteer.Candidate {
	var candidates []mtsteer.Candidate
	for _, instance := range g.mesh.Standings(now) {
		row := instance.Row
		candidate := mtsteer.Candidate{
			Name:     row.GetInstance(),
			Centre:   row.GetCentre(),
			Calls:    row.GetCalls(),
			Epoch:    row.GetEpoch(),
			Capacity: float64(row.GetCapacity()),
			Link:     float64(row.GetLink()),
			Traffic:  float64(row.GetTraffic()),
			Rate:     float64(row.GetRate()),
			Ready:    row.GetReady(),
			Leaving:  row.GetLeaving(),
			Cut:      row.GetCut(),
			Age:      oldestFeedAge(row),
			Strained: row.GetStrained(),
			Silence:  instance.Silence,
		}
		if row.GetInstance() == g.settings().Instance {
			candidate.Ready = g.isReady()
			candidate.Leaving = g.leaving.Load()
			candidate.Strained = g.lacksCPU.Load()
			candidate.Silence = 0
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
		addresses = append(addresses, receiver.Calls)
	}
	return addresses, min(current.answerTTL.Left(time.Now()), g.settings().Hold)
}

// updateBudgetShares sets this instance's shares of the retry budget and of the load probes.
func (g *Gateway) updateBudgetShares(isReceiver bool, fleet mtsteer.Fleet, now time.Time) {
	share := mtsteer.ShareOf(isReceiver, fleet)
	g.retryBudgets.setSlack(share.Slack * g.settings().RetrySlack)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxProbesPerSecond = share.Looks * g.settings().Probes
	if !isReceiver && g.requestRate.perSecond(now) < minProbingRequestRate {
		g.maxProbesPerSecond = 0
	}
	for _, placer := range g.placers {
		placer.SetProbeRate(g.maxProbesPerSecond)
	}
}
