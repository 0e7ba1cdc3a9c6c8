package mtqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtqueue"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type waitingCall struct {
	id       uint64
	team     string
	deadline time.Time
}

// referenceQueue is a model of the queue that searches a list from end to end for each operation.
type referenceQueue struct {
	calls         []waitingCall
	runningByTeam map[string]int
}

// next returns the index of the next call, or -1 when no call waits.
func (q *referenceQueue) next() int {
	best := -1
	for i, call := range q.calls {
		if best < 0 || q.isBefore(call, q.calls[best]) {
			best = i
		}
	}
	return best
}

func (q *referenceQueue) isBefore(a, b waitingCall) bool {
	if a.team == b.team {
		return a.deadline.Before(b.deadline)
	}
	if q.runningByTeam[a.team] != q.runningByTeam[b.team] {
		return q.runningByTeam[a.team] < q.runningByTeam[b.team]
	}
	return a.deadline.Before(b.deadline)
}

func TestQueueMatchesReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := mtqueue.NewQueue(1000)
		model := &referenceQueue{runningByTeam: map[string]int{}}
		lastID := uint64(0)
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				lastID++
				call := waitingCall{
					id:   lastID,
					team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					// Deadlines differ, so that the order is total.
					deadline: now.Add(
						time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond + time.Duration(lastID)),
				}
				_, full := queue.Push(call.id, call.team, call.deadline)
				require.False(t, full)
				model.calls = append(model.calls, call)
			},
			"pop": func(t *rapid.T) {
				id, team, found := queue.Pop()
				require.Equal(t, len(model.calls) > 0, found)
				if !found {
					return
				}
				expected := model.next()
				require.Equal(t, model.calls[expected].id, id)
				model.runningByTeam[team]++
				model.calls = append(model.calls[:expected], model.calls[expected+1:]...)
			},
			"done": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				if model.runningByTeam[team] > 0 {
					model.runningByTeam[team]--
					queue.Done(team)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				var remaining []waitingCall
				for _, call := range model.calls {
					if call.deadline.After(now) {
						remaining = append(remaining, call)
					}
				}
				require.Len(t, queue.Expire(now), len(model.calls)-len(remaining))
				model.calls = remaining
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(model.calls), queue.Len())
			},
		})
	})
}

func TestBurstOfOneTeamDoesNotDelayOtherTeams(t *testing.T) {
	queue := mtqueue.NewQueue(1000)
	for i := range 100 {
		queue.Push(uint64(i), "burst", start)
	}
	queue.Push(1000, "quiet", start.Add(time.Hour))
	queue.Pop()
	id, _, _ := queue.Pop()
	require.EqualValues(t, 1000, id,
		"the team without running calls comes second, although the other team's deadlines are earlier")
}

func TestFullQueueDropsLatestDeadlineOfTeamWithMostCalls(t *testing.T) {
	queue := mtqueue.NewQueue(3)
	queue.Push(1, "burst", start)
	queue.Push(2, "burst", start.Add(2))
	queue.Push(3, "burst", start.Add(1))
	dropped, full := queue.Push(4, "quiet", start.Add(time.Hour))
	require.True(t, full)
	require.EqualValues(t, 2, dropped)
}
