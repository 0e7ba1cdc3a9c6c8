package mtgateway

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtsteering"
)

const (
	budgetTestRatio  = 0.2
	budgetTestSlack  = 58
	budgetTestWindow = 10 * time.Second
	// budgetTestStep is the time between two steps of the simulation, and budgetTestSelection the one between two
	// selections of roles.
	budgetTestStep      = 50 * time.Millisecond
	budgetTestSelection = 250 * time.Millisecond
)

// budgetTestInstance is one process of a simulated instance. While requests fail, it takes all extra
// attempts that its budget allows.
type budgetTestInstance struct {
	candidate  mtsteering.Candidate
	gateway    *Gateway
	selection  mtsteering.ReceiverSelector
	heard      map[string]budgetTestHeartbeat
	side       int
	isReceiver bool
	isMute     bool
	startedAt  time.Time
	pausedTill time.Time
	exitsAt    time.Time
	selectedAt time.Time
}

type budgetTestHeartbeat struct {
	candidate mtsteering.Candidate
	at        time.Time
}

// budgetTestFleet plays the instances of one deployment in virtual time.
type budgetTestFleet struct {
	random    *rand.Rand
	now       time.Time
	instances map[string]*budgetTestInstance
	order     []string
	requests  []time.Time
	extra     []time.Time
	// requestsPerStep is the number of requests in each step, of which one in staleCallers goes to an instance that is no
	// receiver.
	requestsPerStep int
	staleCallers    int
	// isFailing is set while requests need extra attempts, until changesAt.
	isFailing bool
	changesAt time.Time
}

func newBudgetTestFleet(count int, seed uint64) *budgetTestFleet {
	fleet := &budgetTestFleet{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		instances: map[string]*budgetTestInstance{},
	}
	fleet.requestsPerStep = []int{0, 1, 3, 10}[fleet.random.IntN(4)]
	fleet.staleCallers = 1 + fleet.random.IntN(100)
	for i := range count {
		fleet.order = append(fleet.order, fmt.Sprintf("i-%02d", i))
		fleet.start(fleet.order[i])
	}
	return fleet
}

// start starts a process, which replaces the one of its instance.
func (f *budgetTestFleet) start(name string) {
	gateway := newTestGateway()
	gateway.currentSettings.Store(&Settings{
		Instance:    name,
		RetryPart:   budgetTestRatio,
		RetrySlack:  budgetTestSlack,
		RetryWindow: budgetTestWindow,
	})
	gateway.retryBudgets = newRetryBudgets(budgetTestRatio, budgetTestWindow)
	f.instances[name] = &budgetTestInstance{
		candidate: mtsteering.Candidate{
			Name:   name,
			Centre: string(name[len(name)-1]%3 + 'a'),
			Epoch:  uint64(f.now.UnixMilli()),
			Cores:  0.3,
			Ready:  true,
		},
		gateway:   gateway,
		heard:     map[string]budgetTestHeartbeat{},
		startedAt: f.now,
		selection: mtsteering.ReceiverSelector{
			Started: f.now,
		},
	}
}

func (f *budgetTestFleet) receivers() []string {
	return slices.DeleteFunc(f.all(), func(name string) bool {
		return !f.instances[name].isReceiver || f.instances[name].candidate.Leaving
	})
}

func (f *budgetTestFleet) all() []string {
	return slices.Clone(f.order)
}

// isRunning reports whether the process of an instance runs, and not only exists.
func (f *budgetTestFleet) isRunning(i *budgetTestInstance) bool {
	return f.now.After(i.pausedTill) && (i.exitsAt.IsZero() || f.now.Before(i.exitsAt))
}

// run plays the fleet for a time.
func (f *budgetTestFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(budgetTestStep) {
		for _, name := range f.all() {
			i := f.instances[name]
			if !i.exitsAt.IsZero() && !f.now.Before(i.exitsAt) {
				f.start(name)
			}
		}
		for _, name := range f.all() {
			if i := f.instances[name]; f.isRunning(i) {
				f.step(i)
			}
		}
		f.sendRequests()
		if !f.now.Before(f.changesAt) {
			f.isFailing = !f.isFailing
			f.changesAt = f.now.Add(time.Duration(f.random.IntN(14000)) * time.Millisecond)
		}
	}
}

// sendRequests sends the requests of one step. Those to an instance that does not run are lost, but count.
func (f *budgetTestFleet) sendRequests() {
	all, receivers := f.all(), f.receivers()
	for range f.requestsPerStep {
		name := all[f.random.IntN(len(all))]
		if len(receivers) > 0 && f.random.IntN(f.staleCallers) > 0 {
			name = receivers[f.random.IntN(len(receivers))]
		}
		if i := f.instances[name]; f.isRunning(i) {
			i.gateway.retryBudget("portal").countRequest(f.now)
		}
		f.requests = append(f.requests, f.now)
	}
}

// step plays one step of one instance.
func (f *budgetTestFleet) step(i *budgetTestInstance) {
	if f.now.Sub(i.selectedAt) >= budgetTestSelection {
		f.hear(i)
		f.selectRoles(i)
	}
	for f.isFailing {
		allowed, _ := i.gateway.retryBudget("portal").takeExtraAttempt(f.now)
		if !allowed {
			return
		}
		f.extra = append(f.extra, f.now)
	}
}

// hear receives the heartbeats of the other instances on the same side of a partition.
func (f *budgetTestFleet) hear(i *budgetTestInstance) {
	for _, name := range f.all() {
		other := f.instances[name]
		if other != i && other.side == i.side && !other.isMute && f.isRunning(other) {
			i.heard[name] = budgetTestHeartbeat{
				candidate: other.candidate,
				at:        f.now,
			}
		}
	}
}

// selectRoles does what selectRoles of the gateway does with the shares of the budgets.
func (f *budgetTestFleet) selectRoles(i *budgetTestInstance) {
	i.selectedAt = f.now
	candidates := []mtsteering.Candidate{i.candidate}
	known := 1
	for _, heard := range i.heard {
		heard.candidate.SinceHeartbeat = f.now.Sub(heard.at)
		candidates = append(candidates, heard.candidate)
		if !heard.candidate.Leaving {
			known++
		}
	}
	slices.SortFunc(candidates, func(a, b mtsteering.Candidate) int {
		return cmp.Compare(a.Name, b.Name)
	})
	receivers := i.selection.Select(candidates, i.candidate.Name, f.now)
	_, reachable := mtsteering.SeniorityRank(candidates, i.candidate.Name)
	i.isReceiver = slices.ContainsFunc(receivers, func(c mtsteering.Candidate) bool {
		return c.Name == i.candidate.Name
	})
	i.gateway.updateBudgetShares(i.isReceiver, mtsteering.FleetCounts{
		Receivers: len(receivers),
		Reachable: reachable,
		Known:     known,
	}, f.now)
}

// requireWithinBudget checks each window that begins with an extra attempt.
func (f *budgetTestFleet) requireWithinBudget(t *testing.T) {
	t.Helper()
	count := func(times []time.Time, from, to time.Time) int {
		first, _ := slices.BinarySearchFunc(times, from, func(at, from time.Time) int { return at.Compare(from) })
		last, _ := slices.BinarySearchFunc(times, to, func(at, to time.Time) int { return cmp.Or(at.Compare(to), -1) })
		return last - first
	}
	for i, begin := range f.extra {
		if i > 0 && begin.Equal(f.extra[i-1]) {
			continue
		}
		end := begin.Add(budgetTestWindow)
		requests := 0
		for _, back := range []time.Duration{0, budgetTestWindow / 2, budgetTestWindow} {
			requests = max(requests, count(f.requests, begin.Add(-back), end.Add(-back)))
		}
		allowed := budgetTestRatio*float64(requests) + budgetTestSlack
		require.LessOrEqual(t, float64(count(f.extra, begin, end)), allowed, "in the window from %s", begin.Format("05.00"))
	}
}

// budgetTestDisturbances are what happens to the instances while many requests need extra attempts.
var budgetTestDisturbances = map[string]func(f *budgetTestFleet){
	"nothing": func(f *budgetTestFleet) { f.run(30 * time.Second) },
	"receivers killed in turn": func(f *budgetTestFleet) {
		for range 12 {
			for _, name := range f.receivers() {
				f.start(name)
			}
			f.run(2 * time.Second)
		}
	},
	"all killed again and again": func(f *budgetTestFleet) {
		for range 6 {
			for _, name := range f.all() {
				f.start(name)
			}
			f.run(4 * time.Second)
		}
	},
	"all terminated at once": func(f *budgetTestFleet) {
		for range 4 {
			for _, name := range f.all() {
				f.instances[name].candidate.Leaving = true
				f.instances[name].exitsAt = f.now.Add(6 * time.Second)
			}
			f.run(8 * time.Second)
		}
	},
	"roll": func(f *budgetTestFleet) {
		for _, name := range f.all() {
			f.instances[name].candidate.Leaving = true
			f.instances[name].exitsAt = f.now.Add(3 * time.Second)
			f.run(1500 * time.Millisecond)
		}
	},
	"receivers become unready in turn": func(f *budgetTestFleet) {
		for range 12 {
			receivers := f.receivers()
			for _, name := range f.all() {
				f.instances[name].candidate.Ready = !slices.Contains(receivers, name)
			}
			f.run(2500 * time.Millisecond)
		}
	},
	"partitions": func(f *budgetTestFleet) {
		for round := range 5 {
			for _, name := range f.all() {
				f.instances[name].side = f.random.IntN(round%3 + 1)
			}
			f.run(time.Duration(3+f.random.IntN(14)) * time.Second)
		}
	},
	"receivers paused": func(f *budgetTestFleet) {
		for range 4 {
			for _, name := range f.receivers() {
				f.instances[name].pausedTill = f.now.Add(time.Duration(2+f.random.IntN(20)) * time.Second)
			}
			f.run(12 * time.Second)
		}
	},
	"messages of receivers lost": func(f *budgetTestFleet) {
		for range 4 {
			for _, name := range f.receivers() {
				f.instances[name].isMute = true
			}
			f.run(4 * time.Second)
			for _, name := range f.all() {
				f.instances[name].isMute = false
			}
			f.run(4 * time.Second)
		}
	},
	"all of these": func(f *budgetTestFleet) {
		names := f.all()
		for range 40 {
			i := f.instances[names[f.random.IntN(len(names))]]
			switch f.random.IntN(6) {
			case 0:
				f.start(i.candidate.Name)
			case 1:
				i.candidate.Leaving = true
				i.exitsAt = f.now.Add(time.Duration(1+f.random.IntN(5)) * time.Second)
			case 2:
				i.candidate.Ready = !i.candidate.Ready
			case 3:
				i.side = 1 - i.side
			case 4:
				i.pausedTill = f.now.Add(time.Duration(f.random.IntN(8)) * time.Second)
			case 5:
				for _, name := range f.receivers() {
					f.start(name)
				}
			}
			f.run(time.Duration(f.random.IntN(3000)) * time.Millisecond)
		}
	},
}

// Each process that starts, and each instance that becomes a receiver, spent a part of the retry slack once more.
func TestRetriesOfAllInstancesStayWithinBudget(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(budgetTestDisturbances)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 6; seed++ {
				fleet := newBudgetTestFleet(15, seed)
				fleet.run(20 * time.Second)
				budgetTestDisturbances[name](fleet)
				fleet.run(5 * time.Second)
				fleet.requireWithinBudget(t)
			}
		})
	}
}
