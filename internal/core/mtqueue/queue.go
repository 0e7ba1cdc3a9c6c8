// The next call is that of the team with the fewest calls in service, so one team's burst makes that team wait and not
// its neighbours. A full queue drops the latest deadline of the team that has the most calls waiting. Push and Pop cost
// O(log n) within a team plus a pass over the teams that wait.

package mtqueue

import (
	"container/heap"
	"time"
)

// Queue holds the identifiers of waiting calls.
type Queue struct {
	limit   int
	size    int
	teams   map[string]*line
	serving map[string]int
	where   map[uint64]*waiting
}

type waiting struct {
	id       uint64
	team     string
	deadline time.Time
	index    int
}

type line []*waiting

func (l line) Len() int           { return len(l) }
func (l line) Less(i, j int) bool { return l[i].deadline.Before(l[j].deadline) }

func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index = i
	l[j].index = j
}

func (l *line) Push(item any) {
	added := item.(*waiting)
	added.index = len(*l)
	*l = append(*l, added)
}

func (l *line) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// NewQueue returns a queue that holds at most limit calls.
func NewQueue(limit int) *Queue {
	return &Queue{
		limit:   limit,
		teams:   map[string]*line{},
		serving: map[string]int{},
		where:   map[uint64]*waiting{},
	}
}

// Limit changes how many calls the queue holds.
func (q *Queue) Limit(limit int) {
	q.limit = limit
}

// Len returns the number of calls that wait.
func (q *Queue) Len() int {
	return q.size
}

// Push adds a call; when the queue is full it drops one, possibly the call added.
func (q *Queue) Push(id uint64, team string, deadline time.Time) (dropped uint64, full bool) {
	if q.teams[team] == nil {
		q.teams[team] = &line{}
	}
	added := &waiting{
		id:       id,
		team:     team,
		deadline: deadline,
	}
	heap.Push(q.teams[team], added)
	q.where[id] = added
	q.size++
	if q.size <= q.limit {
		return 0, false
	}
	victim := q.latest(q.longest())
	q.Remove(victim)
	return victim, true
}

func (q *Queue) longest() line {
	var longest line
	name := ""
	for team, members := range q.teams {
		if len(*members) > len(longest) || len(*members) == len(longest) && team < name {
			longest = *members
			name = team
		}
	}
	return longest
}

func (q *Queue) latest(members line) uint64 {
	latest := members[0]
	for _, member := range members {
		if member.deadline.After(latest.deadline) {
			latest = member
		}
	}
	return latest.id
}

// Pop removes the next call and counts it as in service; found is false when none waits.
func (q *Queue) Pop() (id uint64, team string, found bool) {
	for name, members := range q.teams {
		if !found || q.isBefore(name, team) {
			team = name
			id = (*members)[0].id
			found = true
		}
	}
	if found {
		q.Remove(id)
		q.serving[team]++
	}
	return id, team, found
}

func (q *Queue) isBefore(a, b string) bool {
	if q.serving[a] != q.serving[b] {
		return q.serving[a] < q.serving[b]
	}
	first, second := (*q.teams[a])[0], (*q.teams[b])[0]
	if !first.deadline.Equal(second.deadline) {
		return first.deadline.Before(second.deadline)
	}
	return a < b
}

// Done ends the service of a call that Pop returned.
func (q *Queue) Done(team string) {
	q.serving[team]--
	if q.serving[team] <= 0 {
		delete(q.serving, team)
	}
}

// Remove takes a call out of the queue and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	found := q.where[id]
	if found == nil {
		return false
	}
	delete(q.where, id)
	members := q.teams[found.team]
	heap.Remove(members, found.index)
	if members.Len() == 0 {
		delete(q.teams, found.team)
	}
	q.size--
	return true
}

// Expire removes and returns the calls whose deadline has come.
func (q *Queue) Expire(now time.Time) []uint64 {
	var expired []uint64
	for _, found := range q.where {
		if !found.deadline.After(now) {
			expired = append(expired, found.id)
		}
	}
	for _, id := range expired {
		q.Remove(id)
	}
	return expired
}
