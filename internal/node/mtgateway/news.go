package mtgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtnews"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// megabit is one byte in megabits.
const megabit = 8.0 / 1e6

// feed is one followed topic with the newest value of each key.
type feed struct {
	number   mtnews.Feed
	follower *mtnews.Follower
	values   map[string][]byte
	recent   recent
	// asking is set while the whole feed is being asked of a peer.
	asking bool
	wake   chan struct{}
}

// news holds the feeds; its mutex is a leaf, under which no other lock is taken.
type news struct {
	mu    sync.Mutex
	feeds []*feed
	// flags are what the other instances last said of themselves.
	flags map[string]rowFlags
}

// rowFlags are the parts of a row that can change who has a role.
type rowFlags struct {
	incarnation uint64
	ready       bool
	leaving     bool
	cut         bool
	strained    bool
}

func newNews(now time.Time) *news {
	result := &news{
		flags: map[string]rowFlags{},
	}
	for _, number := range []mtnews.Feed{mtnews.Configuration, mtnews.Endpoints} {
		result.feeds = append(result.feeds, &feed{
			number:   number,
			follower: mtnews.NewFollower(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			values:   map[string][]byte{},
			wake:     make(chan struct{}, 1),
		})
	}
	return result
}

// merge takes a batch into the values; the mutex is held.
func (f *feed) merge(batch mtnews.Batch) {
	if batch.Whole {
		clear(f.values)
	}
	f.recent.add(batch)
	for _, change := range batch.Changes {
		if change.Gone {
			delete(f.values, change.Key)
		} else {
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

// follow keeps one feed current until the context ends.
func (g *Gateway) follow(ctx context.Context, f *feed) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		role := g.role()
		g.news.mu.Lock()
		action, wait := f.follower.Next(role, now)
		offset, _ := f.follower.Offset()
		g.news.mu.Unlock()
		if action == mtnews.Sleep {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
			case <-timer.C:
			case <-f.wake:
			}
			continue
		}
		g.readStore(ctx, f, action, offset, wait, role)
	}
}

// rankFeeds tells the feeds the place of the instance among those that it hears.
func (g *Gateway) rankFeeds(rank, fleet int) {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	for _, f := range g.news.feeds {
		f.follower.Place(rank, fleet)
	}
}

// role returns the part of the instance in reading the store.
func (g *Gateway) role() mtnews.Role {
	return mtnews.Role(g.reads.Load())
}

// readStore makes one read and applies its changes.
func (g *Gateway) readStore(ctx context.Context, f *feed, action mtnews.Action, offset uint64, wait time.Duration, role mtnews.Role) {
	sent := time.Now()
	var batch mtnews.Batch
	var err error
	if action == mtnews.ReadNewest {
		batch, err = g.store.Newest(ctx, f.number)
	} else {
		batch, err = g.store.Read(ctx, f.number, offset, wait)
	}
	now := time.Now()
	g.meter.storeCall(f.number, err)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		g.readFailed(f, err, role, now)
		return
	}
	g.applying.Lock()
	defer g.applying.Unlock()
	g.news.mu.Lock()
	failures := f.follower.Failures()
	accepted := f.follower.Accepts(batch)
	f.follower.Done(batch.To, len(batch.Changes), sent, now)
	if accepted {
		f.merge(batch)
	}
	age := f.follower.Age(now)
	g.news.mu.Unlock()
	if failures > 0 {
		mtevent.StoreBack.Log(g.logger, logrus.Fields{
			"feed":     f.number.String(),
			"failures": failures,
		})
	}
	if accepted {
		g.apply(batch, "store", age, now)
		if len(batch.Changes) > 0 {
			g.relay(batch, age, now)
		}
	}
	if role == mtnews.Listener && batch.Feed != mtnews.Members {
		// The others have heard nothing for as long, and need not read as well.
		g.mesh.BeatAll(now)
	}
}

func (g *Gateway) readFailed(f *feed, err error, role mtnews.Role, now time.Time) {
	if errors.Is(err, mtnews.ErrForgotten) {
		g.news.mu.Lock()
		f.follower.Forgotten()
		g.news.mu.Unlock()
		g.interrupted(now)
		mtevent.StoreForgot.Log(g.logger, logrus.Fields{
			"feed": f.number.String(),
		})
		return
	}
	g.news.mu.Lock()
	f.follower.Failed(role, now)
	failures := f.follower.Failures()
	age := f.follower.Age(now)
	g.news.mu.Unlock()
	g.interrupted(now)
	if failures == 1 {
		mtevent.StoreLost.Log(g.logger, logrus.Fields{
			"feed":  f.number.String(),
			"error": err.Error(),
			"age":   age.String(),
		})
	}
}

func (g *Gateway) feedOf(number uint32) *feed {
	if int(number) >= len(g.news.feeds) {
		return nil
	}
	return g.news.feeds[number]
}

// Fill completes the own row before it is sent.
func (g *Gateway) Fill(self *peerv1.Row, now time.Time) bool {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	self.Standings = self.Standings[:0]
	self.Cut = false
	for _, f := range g.news.feeds {
		offset, known := f.follower.Offset()
		standing := &peerv1.Standing{}
		if known {
			standing.Known = true
			standing.Offset = offset
			standing.Age = uint64(max(0, f.follower.Age(now).Milliseconds()))
		}
		self.Standings = append(self.Standings, standing)
		self.Cut = self.Cut || f.follower.IsCut()
	}
	self.Capacity = float32(g.settings().Capacity)
	self.Link = float32(g.settings().Link)
	self.Traffic = float32(g.traffic.perSecond(now) * megabit)
	self.Ready = g.isReady()
	self.Leaving = g.leaving.Load()
	self.Strained = g.strained.Load()
	self.Rate = float32(g.rate.perSecond(now))
	return g.role() != mtnews.Listener || g.inCrew.Load() || self.Leaving
}
