package mtgateway

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtmemory"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// maxFailedReadAge is the age up to which other instances are told of a read that failed.
const maxFailedReadAge = 20 * time.Second

// feedCount is the number of feeds that share the memory for changes.
const feedCount = 2

// peerAgeAllowance is added to an age for its way to another instance. Ages pass from instance to instance and back, and the
// lowest counts: without the allowance, each passage would make the data look younger.
const peerAgeAllowance = 20 * time.Millisecond

// ageForPeers returns the age of data as other instances are told, in milliseconds.
func ageForPeers(age time.Duration) uint64 {
	return uint64(max(0, (age + peerAgeAllowance).Milliseconds()))
}

// megabitsPerByte converts bytes to megabits.
const megabitsPerByte = 8.0 / 1e6

// feed is one followed topic of the store with the newest value of each key.
type feed struct {
	number   mtreplication.Feed
	follower *mtreplication.Follower
	values   map[string][]byte
	history  changeHistory
	// earlier has records of the configuration that were replaced.
	earlier earlierRecords
	// fetching is set while the feed is being read from a peer.
	fetching bool
	wake     chan struct{}
}

// feedSet contains the feeds by number; its mutex is a leaf, under which no other lock is taken.
type feedSet struct {
	mu       sync.Mutex
	byNumber []*feed
	// peerFlags are the flags that each instance last sent with its row.
	peerFlags map[string]rowRoleFlags
}

// rowRoleFlags are the fields of a row that affect the selection of roles.
type rowRoleFlags struct {
	incarnation      uint64
	ready            bool
	leaving          bool
	storeUnreachable bool
	lacksCPU         bool
	lostServices     int
}

func newFeedSet(now time.Time) *feedSet {
	set := &feedSet{
		peerFlags: map[string]rowRoleFlags{},
	}
	for _, number := range []mtreplication.Feed{mtreplication.ConfigurationFeed, mtreplication.EndpointFeed} {
		set.byNumber = append(set.byNumber, &feed{
			number:   number,
			follower: mtreplication.NewFollower(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			values:   map[string][]byte{},
			history: changeHistory{
				maxBytes: mtmemory.Divide(0, 0).History / feedCount,
			},
			wake: make(chan struct{}, 1),
		})
	}
	return set
}

// latestEra returns the latest era of the store that a feed has reached.
func (s *feedSet) latestEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := uint64(0)
	for _, f := range s.byNumber {
		position, _ := f.follower.Position()
		latest = max(latest, position.Era)
	}
	return latest
}

// merge applies a batch to the values; the caller holds the mutex of the feedSet.
func (f *feed) merge(batch mtreplication.Batch) {
	if f.number == mtreplication.ConfigurationFeed {
		for _, change := range batch.Changes {
			if previous := f.values[change.Key]; !change.Lost && previous != nil && !bytes.Equal(previous, change.Value) {
				f.earlier.add(previous)
			}
		}
	}
	if batch.Snapshot {
		clear(f.values)
	}
	f.history.add(batch)
	for _, change := range batch.Changes {
		switch {
		case change.Lost:
			// The record is no part of the feed.
		case change.Deleted:
			delete(f.values, change.Key)
		default:
			f.values[change.Key] = change.Value
		}
	}
}

func (f *feed) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// followFeed keeps one feed up to date until the context ends.
func (g *Gateway) followFeed(ctx context.Context, f *feed) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		role := g.currentStoreRole()
		g.feeds.mu.Lock()
		action, wait := f.follower.Next(role, now)
		position, _ := f.follower.Position()
		g.feeds.mu.Unlock()
		if action == mtreplication.Sleep {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
			case <-timer.C:
			case <-f.wake:
			}
			continue
		}
		g.readStore(ctx, f, action, position.Offset, wait, role)
	}
}

// setFeedRanks passes the rank of this instance among the instances that are alive to the feeds.
func (g *Gateway) setFeedRanks(rank, fleet int) {
	g.feeds.mu.Lock()
	defer g.feeds.mu.Unlock()
	for _, f := range g.feeds.byNumber {
		f.follower.SetRank(rank, fleet)
	}
}

// currentStoreRole returns the role of this instance in reading the store.
func (g *Gateway) currentStoreRole() mtreplication.Role {
	return mtreplication.Role(g.storeRole.Load())
}

// readStore makes one read of the store and applies its changes.
func (g *Gateway) readStore(
	ctx context.Context, f *feed, action mtreplication.Action, offset uint64, wait time.Duration, role mtreplication.Role,
) {
	sentAt := time.Now()
	var batch mtreplication.Batch
	var err error
	if action == mtreplication.ReadNewest {
		batch, err = g.store.ReadNewest(ctx, f.number)
	} else {
		batch, err = g.store.Read(ctx, f.number, offset, wait)
	}
	now := time.Now()
	g.metrics.countStoreCall(f.number, err)
	if ctx.Err() != nil {
		return
	}
	isAnswer := err == nil || errors.Is(err, mtreplication.ErrNotRetained)
	if isAnswer && !g.observeEra(f, batch, role, now) {
		return
	}
	if err != nil {
		g.handleReadFailure(f, err, role, sentAt, now)
		return
	}
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	g.feeds.mu.Lock()
	failures := f.follower.ConsecutiveFailures()
	accepted := f.follower.Accepts(batch)
	// The answer may have waited for this process, so that it shows the store as it was then.
	f.follower.ReadSucceeded(batch, sentAt, now.Add(-g.pauseWatch.messageDelay(now)))
	var before map[string][]byte
	if accepted {
		if f.number == mtreplication.ConfigurationFeed {
			before = maps.Clone(f.values)
		}
		f.merge(batch)
	}
	age := f.follower.Age(now)
	g.feeds.mu.Unlock()
	if failures > 0 {
		mtevent.StoreReadable.Log(g.logger, logrus.Fields{
			"feed":     f.number.String(),
			"failures": failures,
		})
	}
	if accepted {
		g.applyBatch(batch, "store", age, now)
		if len(batch.Changes) > 0 {
			g.propagateChanges(batch, before, age, now)
		}
	}
	if role == mtreplication.Listener && batch.Feed != mtreplication.MemberFeed {
		// The other instances have received no update for as long either; the row spares them a read of their own.
		g.mesh.SendHeartbeatToAll(now)
	}
}

// observeEra compares the era of an answer of the store with the latest one known, and reports whether the answer can
// be used.
func (g *Gateway) observeEra(f *feed, batch mtreplication.Batch, role mtreplication.Role, now time.Time) bool {
	g.feeds.mu.Lock()
	order := f.follower.ObserveEra(batch.Era, role, now)
	if order == mtreplication.OldEra {
		f.follower.ReadFailed(role, now)
	}
	position, _ := f.follower.Position()
	g.feeds.mu.Unlock()
	if order == mtreplication.SameEra {
		return true
	}
	event := mtevent.StoreRestored
	if order == mtreplication.OldEra {
		event = mtevent.StoreAnswerOutdated
	}
	g.metrics.countEra(order)
	event.Log(g.logger, logrus.Fields{
		"feed":   f.number.String(),
		"era":    batch.Era,
		"before": position.Era,
		"offset": position.Offset,
	})
	return order == mtreplication.NewEra && batch.Snapshot
}

func (g *Gateway) handleReadFailure(f *feed, err error, role mtreplication.Role, sentAt, now time.Time) {
	if errors.Is(err, mtreplication.ErrNotRetained) {
		g.feeds.mu.Lock()
		f.follower.RequireNewest()
		position, _ := f.follower.Position()
		g.feeds.mu.Unlock()
		if position.Era == 0 {
			// A store without eras may have been restored from a copy.
			g.recordIncompleteStore(now)
		}
		mtevent.StoreRecordsMissing.Log(g.logger, logrus.Fields{
			"feed": f.number.String(),
		})
		return
	}
	g.feeds.mu.Lock()
	f.follower.ReadFailed(role, now)
	f.follower.RecordFailedRead(sentAt)
	failures := f.follower.ConsecutiveFailures()
	age := f.follower.Age(now)
	g.feeds.mu.Unlock()
	if failures == 1 {
		mtevent.StoreUnreadable.Log(g.logger, logrus.Fields{
			"feed":  f.number.String(),
			"error": err.Error(),
			"age":   age.String(),
		})
	}
}

func (g *Gateway) feedByNumber(number uint32) *feed {
	if int(number) >= len(g.feeds.byNumber) {
		return nil
	}
	return g.feeds.byNumber[number]
}

// CompleteRow completes the row of this instance before it is sent, and reports whether the instance has a role or is leaving.
func (g *Gateway) CompleteRow(self *peerv1.Row, now time.Time) bool {
	g.feeds.mu.Lock()
	defer g.feeds.mu.Unlock()
	self.Standings = self.Standings[:0]
	self.Cut = false
	for _, f := range g.feeds.byNumber {
		position, known := f.follower.Position()
		standing := &peerv1.Standing{}
		if known {
			standing.Known = true
			standing.Era = position.Era
			standing.Offset = position.Offset
			standing.Age = ageForPeers(f.follower.Age(now))
		}
		self.Standings = append(self.Standings, standing)
		self.Cut = self.Cut || f.follower.IsStoreUnreachable()
	}
	self.Failed = 0
	if failedAt := g.feeds.byNumber[mtreplication.EndpointFeed].follower.FailedReadAt(); !failedAt.IsZero() {
		if age := now.Sub(failedAt); age < maxFailedReadAge {
			self.Failed = uint64(max(1, age.Milliseconds()))
		}
	}
	self.Capacity = float32(g.settings().Capacity)
	self.Link = float32(g.settings().Link)
	self.Traffic = float32(g.responseByteRate.perSecond(now) * megabitsPerByte)
	self.Version = g.versionInForce()
	self.Ready = g.isReady()
	self.Leaving = g.leaving.Load()
	self.Strained = g.lacksCPU.Load()
	self.Lost = g.currentLostServices()
	self.Rate = float32(g.requestRate.perSecond(now))
	return g.currentStoreRole() != mtreplication.Listener || g.isReceiver.Load() || g.ownsQuotas.Load() || self.Leaving
}
