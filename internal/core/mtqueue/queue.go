// The next call comes from the team with the fewest running calls, so a burst of one team delays that team's calls and
// not those of other teams. A full queue drops the call with the latest deadline of the team with the most waiting
// calls. Push and Pop cost O(log n) within a team plus a pass over the teams with waiting calls.

package mtqueue

import (
	"container/heap"
	"time"
)

// Queue holds the identifiers of waiting calls.
type Queue struct {
	capacity      int
	size          int
	waitingByTeam map[string]*deadlineHeap
	runningByTeam map[string]int
	callsByID     map[uint64]*waitingCall
}

type waitingCall struct {
	id       uint64
	team     string
	deadline time.Time
	// index is the position of the call in the heap of its team.
	index int
}

// deadlineHeap is a heap.Interface whose first call has the earliest deadline.
type deadlineHeap []*waitingCall

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *deadlineHeap) Push(item any) {
	added := item.(*waitingCall)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// NewQueue returns an empty queue that holds at most capacity calls.
func NewQueue(capacity int) *Queue {
	return &Queue{
		capacity:      capacity,
		waitingByTeam: map[string]*deadlineHeap{},
		runningByTeam: map[string]int{},
		callsByID:     map[uint64]*waitingCall{},
	}
}

// SetCapacity changes the maximum number of waiting calls; calls that already wait stay.
func (q *Queue) SetCapacity(capacity int) {
	q.capacity = capacity
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	return q.size
}

// Push adds a call. If the queue is full, it drops one call, possibly the added one, and returns its ID.
func (q *Queue) Push(id uint64, team string, deadline time.Time) (dropped uint64, full bool) {
	if q.waitingByTeam[team] == nil {
		q.waitingByTeam[team] = &deadlineHeap{}
	}
	added := &waitingCall{
		id:       id,
		team:     team,
		deadline: deadline,
	}
	heap.Push(q.waitingByTeam[team], added)
	q.callsByID[id] = added
	q.size++
	if q.size <= q.capacity {
		return 0, false
	}
	victim := q.latestDeadline(q.largestHeap())
	q.Remove(victim)
	return victim, true
}

// largestHeap returns the waiting calls of the team that has the most; of equal teams, the first by name.
func (q *Queue) largestHeap() deadlineHeap {
	var largest deadlineHeap
	largestTeam := ""
	for team, calls := range q.waitingByTeam {
		if len(*calls) > len(largest) || len(*calls) == len(largest) && team < largestTeam {
			largest = *calls
			largestTeam = team
		}
	}
	return largest
}

// latestDeadline returns the ID of the call with the latest deadline.
func (q *Queue) latestDeadline(calls deadlineHeap) uint64 {
	latest := calls[0]
	for _, call := range calls {
		if call.deadline.After(latest.deadline) {
			latest = call
		}
	}
	return latest.id
}

// Pop removes the next call and counts it as running until Done; found is false when no call waits.
func (q *Queue) Pop() (id uint64, team string, found bool) {
	for name, calls := range q.waitingByTeam {
		if !found || q.isTeamBefore(name, team) {
			team = name
			id = (*calls)[0].id
			found = true
		}
	}
	if found {
		q.Remove(id)
		q.runningByTeam[team]++
	}
	return id, team, found
}

// isTeamBefore reports whether the next call of team a comes before that of team b. Both teams must have waiting calls.
func (q *Queue) isTeamBefore(a, b string) bool {
	if q.runningByTeam[a] != q.runningByTeam[b] {
		return q.runningByTeam[a] < q.runningByTeam[b]
	}
	first, second := (*q.waitingByTeam[a])[0], (*q.waitingByTeam[b])[0]
	if !first.deadline.Equal(second.deadline) {
		return first.deadline.Before(second.deadline)
	}
	return a < b
}

// Done records that a call of a team that Pop returned has ended.
func (q *Queue) Done(team string) {
	q.runningByTeam[team]--
	if q.runningByTeam[team] <= 0 {
		delete(q.runningByTeam, team)
	}
}

// Remove removes a waiting call and reports whether the queue contained it.
func (q *Queue) Remove(id uint64) bool {
	call := q.callsByID[id]
	if call == nil {
		return false
	}
	delete(q.callsByID, id)
	calls := q.waitingByTeam[call.team]
	heap.Remove(calls, call.index)
	if calls.Len() == 0 {
		delete(q.waitingByTeam, call.team)
	}
	q.size--
	return true
}

// Expire removes the calls whose deadline has been reached and returns their IDs.
func (q *Queue) Expire(now time.Time) []uint64 {
	var expired []uint64
	for _, call := range q.callsByID {
		if !call.deadline.After(now) {
			expired = append(expired, call.id)
		}
	}
	for _, id := range expired {
		q.Remove(id)
	}
	return expired
}
