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
	// steerPeriod is the time between two choices of the instances with a role, unless a row calls for one sooner.
	steerPeriod = 250 * time.Millisecond
	// chooseGap is the least time between two choices: in a restart of all, rows of some hundred instances come within 100 ms.
	chooseGap = 20 * time.Millisecond
	// lookRateLeast is the number of requests a second below which an instance that callers are not sent to makes no looks:
	// its few requests would open a connection for each look.
	lookRateLeast = 5
)

// steering is what the last choice came to: the receivers, and for how long callers may keep the answer that names them.
type steering struct {
	crew []mtsteer.Candidate
	hold mtsteer.Hold
}

// noticed makes the next choice come at once.
func (g *Gateway) noticed() {
	select {
	case g.steerWake <- struct{}{}:
	default:
	}
}

// steer chooses the instances with a role until the context ends.
func (g *Gateway) steer(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	strain := mtstrain.Strain{}
	clock := mtclock.Steps{}
	due := time.Now()
	chosen := time.Time{}
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			now = time.Now()
			strain.Woke(due, now)
		case <-g.steerWake:
			now = time.Now()
			if left := chooseGap - now.Sub(chosen); left > 0 {
				due = now.Add(left)
				timer.Reset(left)
				continue
			}
		}
		chosen = now
		if step := clock.Read(now); step != 0 {
			mtevent.ClockStepped.Log(g.logger, logrus.Fields{
				"by": step.String(),
			})
		}
		g.strained.Store(strain.IsStrained(now))
		pause := steerPeriod
		if left := g.chooseRoles(now); left > 0 {
			pause = min(pause, left)
		}
		if g.looksAround(now) {
			go g.lookAround(ctx, now)
		}
		g.expire(now)
		due = time.Now().Add(pause)
		timer.Reset(pause)
	}
}

// chooseRoles chooses the instances with a role; it returns how long this one still waits for others before it takes one.
func (g *Gateway) chooseRoles(now time.Time) time.Duration {
	g.choosing.Lock()
	defer g.choosing.Unlock()
	candidates := g.candidates(now)
	g.opening.Heard(len(candidates)-1, now)
	left := g.opening.Left(now)
	crew := g.crews.Choose(candidates, g.settings().Instance, now)
	readers := mtsteer.Readers(candidates)
	isSelf := func(candidate mtsteer.Candidate) bool {
		return candidate.Name == g.settings().Instance
	}
	role := mtnews.Listener
	switch place := slices.IndexFunc(readers, isSelf); {
	case left > 0:
		// A restart of all would make each one a reader until it hears of the others.
	case place == 0:
		role = mtnews.Reader
	case place == 1:
		role = mtnews.Standby
	}
	changed := g.reads.Swap(int32(role)) != int32(role)
	place, heard := mtsteer.Place(candidates, g.settings().Instance)
	g.rankFeeds(place, heard)
	inCrew := slices.ContainsFunc(crew, isSelf)
	changed = g.inCrew.Swap(inCrew) != inCrew || changed
	g.nameReceivers(crew, now)
	g.shareBudgets(inCrew, mtsteer.Fleet{
		Receivers: len(crew),
		Heard:     heard,
		Known:     g.mesh.Fleet(),
	}, now)
	if !changed {
		return left
	}
	mtevent.RoleChanged.Log(g.logger, logrus.Fields{
		"reads":    role.String(),
		"receives": inCrew,
		"known":    len(candidates),
	})
	for _, f := range g.news.feeds {
		f.notify()
	}
	g.mesh.Beat(now)
	return left
}

// nameReceivers puts the instances that callers are sent to into the answers.
func (g *Gateway) nameReceivers(crew []mtsteer.Candidate, now time.Time) {
	next := &steering{
		crew: crew,
	}
	if last := g.steering.Load(); last != nil {
		next.hold = last.hold
	}
	next.hold.Named(crew, now)
	g.steering.Store(next)
}

// looksAround reports whether the store should be asked where the others are.
func (g *Gateway) looksAround(now time.Time) bool {
	g.choosing.Lock()
	defer g.choosing.Unlock()
	return g.opening.LooksAround(now)
}

func (g *Gateway) candidates(now time.Time) []mtsteer.Candidate {
	var candidates []mtsteer.Candidate
	for _, standing := range g.mesh.Standings(now) {
		row := standing.Row
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
			Age:      ageOf(row),
			Strained: row.GetStrained(),
			Silence:  standing.Silence,
		}
		if row.GetInstance() == g.settings().Instance {
			candidate.Ready = g.isReady()
			candidate.Leaving = g.leaving.Load()
			candidate.Strained = g.strained.Load()
			candidate.Silence = 0
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// ageOf returns the age of the oldest of an instance's news, or 0 when it has none, which its row tells by not being ready.
func ageOf(row *peerv1.Row) time.Duration {
	oldest := uint64(0)
	for _, standing := range row.GetStandings() {
		oldest = max(oldest, standing.GetAge())
	}
	return time.Duration(oldest) * time.Millisecond
}

// addresses returns where callers connect, and for how long they may keep the answer.
func (g *Gateway) addresses(_, _ string) ([]string, time.Duration) {
	found := g.steering.Load()
	if found == nil {
		return nil, 0
	}
	addresses := make([]string, 0, len(found.crew))
	for _, member := range found.crew {
		addresses = append(addresses, member.Calls)
	}
	return addresses, min(found.hold.Left(time.Now()), g.settings().Hold)
}

// shareBudgets sets this instance's share of the retry budget and of the looks at endpoints.
func (g *Gateway) shareBudgets(inCrew bool, fleet mtsteer.Fleet, now time.Time) {
	share := mtsteer.ShareOf(inCrew, fleet)
	g.budgets.setSlack(share.Slack * g.settings().RetrySlack)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looks = share.Looks * g.settings().Probes
	if !inCrew && g.rate.perSecond(now) < lookRateLeast {
		g.looks = 0
	}
	for _, placer := range g.placers {
		placer.SetLooks(g.looks)
	}
}
