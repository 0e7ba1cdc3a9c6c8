package mtreplication

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// followerInEra returns a follower that has read a snapshot up to a position at startTime.
func followerInEra(era, offset uint64) *Follower {
	follower := newTestFollower(1)
	follower.ObserveEra(era, Reader, startTime)
	follower.ReadSucceeded(snapshotOf(era, offset), startTime, startTime)
	return follower
}

func snapshotOf(era, offset uint64) Batch {
	return Batch{
		Era:      era,
		To:       offset,
		Snapshot: true,
	}
}

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	require.Negative(t, Position{Era: 1, Offset: 9}.Compare(Position{Era: 2, Offset: 1}))
	require.Positive(t, Position{Era: 2, Offset: 2}.Compare(Position{Era: 2, Offset: 1}))
	require.Zero(t, Position{Era: 2, Offset: 2}.Compare(Position{Era: 2, Offset: 2}))
}

// The store has offsets again that the follower has read before, with other records.
func TestFollowerReadsNewestRecordsOfNewEra(t *testing.T) {
	follower := followerInEra(1, 9)
	require.Equal(t, NewEra, follower.ObserveEra(2, Reader, startTime))
	require.False(t, follower.Accepts(Batch{Era: 2, From: 9, To: 10}), "the records before offset 9 are unknown")
	action, _ := follower.Next(Reader, startTime)
	require.Equal(t, ReadNewest, action)
	position, known := follower.Position()
	require.True(t, known, "the state of the old era stays in use")
	require.Equal(t, Position{Era: 1, Offset: 9}, position)

	require.True(t, follower.Accepts(snapshotOf(2, 4)))
	follower.ReadSucceeded(snapshotOf(2, 4), startTime, startTime)
	position, _ = follower.Position()
	require.Equal(t, Position{Era: 2, Offset: 4}, position)
	action, _ = follower.Next(Reader, startTime)
	require.Equal(t, ReadFromOffset, action)
	require.True(t, follower.Accepts(Batch{Era: 2, From: 4, To: 5}))
}

func TestFollowerIgnoresOlderEra(t *testing.T) {
	follower := followerInEra(2, 4)
	require.Equal(t, OldEra, follower.ObserveEra(1, Reader, startTime))
	require.Equal(t, OldEra, follower.ObserveEra(0, Reader, startTime), "the header is missing")
	require.False(t, follower.Accepts(snapshotOf(1, 50)))
	require.False(t, follower.Accepts(Batch{Era: 1, From: 4, To: 5}))
	require.False(t, follower.ObservePeerPosition(Position{Era: 1, Offset: 50}, 0, startTime))
	require.True(t, follower.ObservePeerPosition(Position{Era: 3, Offset: 1}, 0, startTime))
}

// A read from offset 9 of era 1 was in flight when a peer's snapshot of era 2 arrived.
func TestReadThatSkipsRecordsDoesNotAdvance(t *testing.T) {
	follower := followerInEra(1, 9)
	follower.BatchApplied(snapshotOf(2, 4), 0, startTime)
	read := Batch{Era: 2, From: 9, To: 12, Changes: make([]Change, 3)}
	require.Equal(t, SameEra, follower.ObserveEra(2, Reader, startTime))
	require.False(t, follower.Accepts(read))
	follower.ReadSucceeded(read, startTime, startTime.Add(time.Second))
	position, _ := follower.Position()
	require.Equal(t, Position{Era: 2, Offset: 4}, position)
}

// A store without eras says nothing of a restore, so the snapshot that it has is taken although it ends earlier.
func TestStoreWithoutErasMayEndEarlier(t *testing.T) {
	follower := followerInEra(0, 9)
	follower.RequireNewest()
	require.True(t, follower.Accepts(snapshotOf(0, 4)))
	follower.ReadSucceeded(snapshotOf(0, 4), startTime, startTime)
	position, _ := follower.Position()
	require.Equal(t, Position{Offset: 4}, position)
	require.Equal(t, NewEra, follower.ObserveEra(1, Reader, startTime), "the store has eras from now on")
}

// The load pattern: a fleet of 311 instances follows a store that was down for some seconds and returns from a copy.
// Only reader, standby and the few listeners that read while it was down may read the newest records.
func TestNewEraCausesFewReadsInLargeFleet(t *testing.T) {
	const (
		instances    = 311
		outage       = 3 * time.Second
		step         = 5 * time.Millisecond
		storeLatency = 4 * time.Millisecond
		maxReads     = 20
	)
	random := rand.New(rand.NewPCG(7, 7))
	var followers []*Follower
	fetchAt := make([]time.Time, instances)
	for rank := range instances {
		follower := NewFollower(startTime, random)
		follower.SetRank(rank, instances)
		follower.ObserveEra(1, Listener, startTime)
		follower.BatchApplied(snapshotOf(1, 50), 0, startTime)
		followers = append(followers, follower)
	}
	roleOf := func(rank int) Role {
		switch rank {
		case 0:
			return Reader
		case 1:
			return Standby
		default:
			return Listener
		}
	}
	restored := startTime.Add(outage)
	reads := 0
	nextRead := make([]time.Time, instances)
	for now := startTime; now.Before(restored.Add(5 * time.Second)); now = now.Add(step) {
		isHeartbeat := now.Sub(startTime)%(400*time.Millisecond) == 0
		reached, _ := followers[0].Position()
		for rank, follower := range followers {
			if isHeartbeat && rank > 0 && follower.ObservePeerPosition(reached, followers[0].Age(now), now) &&
				fetchAt[rank].IsZero() {
				fetchAt[rank] = now.Add(75*time.Millisecond + time.Duration(random.Int64N(int64(150*time.Millisecond))))
			}
			if !fetchAt[rank].IsZero() && !now.Before(fetchAt[rank]) {
				fetchAt[rank] = time.Time{}
				if batch := snapshotOf(reached.Era, reached.Offset); follower.Accepts(batch) {
					follower.BatchApplied(batch, followers[0].Age(now), now)
				}
			}
			action, wait := follower.Next(roleOf(rank), now)
			if action == Sleep || now.Before(nextRead[rank]) {
				continue
			}
			done := now.Add(storeLatency + wait)
			nextRead[rank] = done
			if now.Before(restored) {
				follower.ReadFailed(roleOf(rank), done)
				continue
			}
			if action == ReadNewest {
				reads++
				follower.ReadSucceeded(snapshotOf(2, 20), now, done)
				continue
			}
			position, _ := follower.Position()
			if follower.ObserveEra(2, roleOf(rank), done) == SameEra {
				follower.ReadSucceeded(Batch{Era: 2, From: position.Offset, To: position.Offset}, now, done)
			}
		}
	}
	for rank, follower := range followers {
		position, _ := follower.Position()
		require.Equal(t, Position{Era: 2, Offset: 20}, position, "rank %d", rank)
	}
	require.Positive(t, reads)
	require.LessOrEqual(t, reads, maxReads, "reads of the newest records")
}

// modelStore is a store with one feed that can be restored from a copy. states holds the state at each position.
type modelStore struct {
	era     uint64
	records []Change
	states  map[Position]map[string]string
}

func newModelStore() *modelStore {
	store := &modelStore{
		era:    1,
		states: map[Position]map[string]string{},
	}
	store.saveState()
	return store
}

func (s *modelStore) end() Position {
	return Position{
		Era:    s.era,
		Offset: uint64(len(s.records)),
	}
}

func (s *modelStore) newest() map[string]string {
	state := map[string]string{}
	for _, change := range s.records {
		state[change.Key] = string(change.Value)
	}
	return state
}

func (s *modelStore) saveState() {
	s.states[s.end()] = s.newest()
}

func (s *modelStore) write(key, value string) {
	s.records = append(s.records, Change{
		Key:   key,
		Value: []byte(value),
	})
	s.saveState()
}

func (s *modelStore) restore(length int) {
	s.era++
	s.records = slices.Clone(s.records[:length])
	s.saveState()
}

// read returns the answer to a read, and whether the store has the offset.
func (s *modelStore) read(action Action, from uint64) (batch Batch, hasOffset bool) {
	batch = Batch{
		Era: s.era,
		To:  s.end().Offset,
	}
	if action == ReadNewest {
		batch.Snapshot = true
		for key, value := range s.newest() {
			batch.Changes = append(batch.Changes, Change{
				Key:   key,
				Value: []byte(value),
			})
		}
		return batch, true
	}
	if from > batch.To {
		return batch, false
	}
	batch.From = from
	batch.Changes = slices.Clone(s.records[from:])
	return batch, true
}

// modelReplica is an instance with a follower and the state that it has applied.
type modelReplica struct {
	follower *Follower
	state    map[string]string
	// answers are those of the store that are still on their way.
	answers []modelAnswer
}

type modelAnswer struct {
	batch     Batch
	hasOffset bool
}

func newModelReplica() *modelReplica {
	return &modelReplica{
		follower: newTestFollower(1),
		state:    map[string]string{},
	}
}

func (r *modelReplica) apply(batch Batch) {
	if batch.Snapshot {
		clear(r.state)
	}
	for _, change := range batch.Changes {
		r.state[change.Key] = string(change.Value)
	}
}

// receive handles an answer of the store as the node does.
func (r *modelReplica) receive(answer modelAnswer, now time.Time) {
	order := r.follower.ObserveEra(answer.batch.Era, Reader, now)
	if order == OldEra || order == NewEra && !answer.batch.Snapshot {
		return
	}
	if !answer.hasOffset {
		r.follower.RequireNewest()
		return
	}
	accepted := r.follower.Accepts(answer.batch)
	r.follower.ReadSucceeded(answer.batch, now, now)
	if accepted {
		r.apply(answer.batch)
	}
}

// Whatever the order of writes, restores, reads, late answers, relays and restarts: the state of a replica is that of
// the store at its position, the position never moves back, and a read at the end brings each replica to the newest
// state.
func TestReplicasFollowRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newModelStore()
		replicas := []*modelReplica{newModelReplica(), newModelReplica(), newModelReplica()}
		reached := make([]Position, len(replicas))
		now := startTime
		check := func() {
			for i, replica := range replicas {
				position, known := replica.follower.Position()
				if !known {
					continue
				}
				if position.Compare(reached[i]) < 0 {
					t.Fatalf("replica %d moved back from %v to %v", i, reached[i], position)
				}
				reached[i] = position
				if !maps.Equal(store.states[position], replica.state) {
					t.Fatalf("replica %d at %v: found %v, expected %v", i, position, replica.state, store.states[position])
				}
			}
		}
		read := func(replica *modelReplica) modelAnswer {
			position, known := replica.follower.Position()
			action := ReadFromOffset
			if !known || replica.follower.needsNewest {
				action = ReadNewest
			}
			batch, hasOffset := store.read(action, position.Offset)
			return modelAnswer{
				batch:     batch,
				hasOffset: hasOffset,
			}
		}
		drawReplica := func(t *rapid.T) int {
			return rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
					strconv.Itoa(rapid.IntRange(0, 99).Draw(t, "value")))
			},
			"restore": func(t *rapid.T) {
				store.restore(rapid.IntRange(0, len(store.records)).Draw(t, "length"))
			},
			"read": func(t *rapid.T) {
				replica := replicas[drawReplica(t)]
				replica.answers = append(replica.answers, read(replica))
			},
			"receive": func(t *rapid.T) {
				replica := replicas[drawReplica(t)]
				if len(replica.answers) == 0 {
					t.Skip("no answer is on its way")
				}
				n := rapid.IntRange(0, len(replica.answers)-1).Draw(t, "answer")
				answer := replica.answers[n]
				replica.answers = slices.Delete(replica.answers, n, n+1)
				replica.receive(answer, now)
			},
			"relay": func(t *rapid.T) {
				from, to := replicas[drawReplica(t)], replicas[drawReplica(t)]
				position, known := from.follower.Position()
				if !known || !to.follower.ObservePeerPosition(position, 0, now) {
					t.Skip("nothing to relay")
				}
				batch := Batch{
					Era:      position.Era,
					To:       position.Offset,
					Snapshot: true,
				}
				for key, value := range from.state {
					batch.Changes = append(batch.Changes, Change{
						Key:   key,
						Value: []byte(value),
					})
				}
				if to.follower.Accepts(batch) {
					to.follower.BatchApplied(batch, 0, now)
					to.apply(batch)
				}
			},
			"restart": func(t *rapid.T) {
				n := drawReplica(t)
				replicas[n] = newModelReplica()
				reached[n] = Position{}
			},
			"": func(*rapid.T) {
				now = now.Add(time.Millisecond)
				check()
			},
		})
		for i, replica := range replicas {
			for range 3 {
				replica.receive(read(replica), now)
			}
			if position, _ := replica.follower.Position(); position != store.end() {
				t.Fatalf("replica %d is at %v, expected %v", i, position, store.end())
			}
		}
		check()
	})
}
