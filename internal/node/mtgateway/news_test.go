package mtgateway

import (
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtnews"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// numbers decodes a configuration whose value is its version, and an endpoint whose value is its number of slots.
type numbers struct{}

func (numbers) Configuration(change mtnews.Change) (*mtroute.Table, bool, error) {
	version, err := strconv.ParseUint(string(change.Value), 10, 64)
	return mtroute.NewTable(version, nil, mtroute.Limits{}, nil), err == nil, err
}

func (numbers) Endpoint(change mtnews.Change) (mtregistry.Entry, error) {
	slots, err := strconv.Atoi(string(change.Value))
	return mtregistry.Entry{
		ID:      change.Key,
		Service: "menu",
		Slots:   slots,
	}, err
}

func newTestGateway() *Gateway {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	gateway := &Gateway{
		logger:   logger,
		journal:  newJournal(logger),
		formats:  numbers{},
		news:     newNews(time.Now()),
		pool:     mtupstream.NewPool(nil, nil),
		registry: mtregistry.NewRegistry(),
		targets:  map[string]*mtplacer.Target{},
		placers:  map[string]*mtplacer.Placer{},

		unreadRests: map[string]bool{},
	}
	gateway.current.Store(&Settings{})
	return gateway
}

func batch(from, to uint64, whole bool) *peerv1.Changes {
	return &peerv1.Changes{
		Feed:  uint32(mtnews.Endpoints),
		From:  from,
		To:    to,
		Whole: whole,
		Changes: []*peerv1.Change{
			{Key: "e-1", Value: []byte(strconv.FormatUint(to, 10))},
		},
	}
}

// Many peers relay the same changes at once; what is in force in the end must be the last.
func TestChangesComeIntoForceInTheOrderOfTheirOffsets(t *testing.T) {
	const last = 300
	gateway := newTestGateway()
	gateway.Changed(batch(0, 1, true), time.Now())
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for offset := uint64(1); offset < last; offset++ {
				gateway.Changed(batch(offset, offset+1, false), time.Now())
			}
		})
	}
	group.Wait()
	require.Equal(t, last, gateway.targets["e-1"].Slots)
	reached, _ := gateway.news.feeds[mtnews.Endpoints].follower.Offset()
	require.EqualValues(t, last, reached)
}

func TestOlderWholeStateIsNotTaken(t *testing.T) {
	gateway := newTestGateway()
	gateway.Changed(batch(0, 5, true), time.Now())
	gateway.Changed(batch(0, 4, true), time.Now())
	require.Equal(t, 5, gateway.targets["e-1"].Slots)
}

func TestOlderConfigurationIsNotApplied(t *testing.T) {
	gateway := newTestGateway()
	for offset, value := range []string{"5", "3", "spoilt", "6", "6", "1"} {
		gateway.Changed(&peerv1.Changes{
			Feed:  uint32(mtnews.Configuration),
			From:  uint64(offset),
			To:    uint64(offset + 1),
			Whole: offset == 0,
			Changes: []*peerv1.Change{
				{Key: "config", Value: []byte(value)},
			},
		}, time.Now())
		expected := uint64(5)
		if offset >= 3 {
			expected = 6
		}
		require.Equal(t, expected, gateway.table.Load().Version)
	}
}

// At the first start of a deployment the store is empty. What one instance has read holds for all, or each would read it.
func TestEmptyFeedOfAPeerIsKnownWithoutARead(t *testing.T) {
	gateway := newTestGateway()
	feed := gateway.feedOf(uint32(mtnews.Endpoints))
	row := &peerv1.Row{
		Instance: "other",
	}
	for range mtnews.Endpoints + 1 {
		row.Standings = append(row.Standings, &peerv1.Standing{})
	}
	now := time.Now()
	gateway.Heard(row, now)
	require.False(t, gateway.knows(feed), "the peer knows nothing itself")
	require.False(t, gateway.haveEndpoints.Load())

	for _, standing := range row.GetStandings() {
		standing.Known = true
		standing.Age = 200
	}
	gateway.Heard(row, now)
	require.True(t, gateway.knows(feed))
	require.True(t, gateway.haveEndpoints.Load())
	require.Equal(t, 200*time.Millisecond, feed.follower.Age(now))
	action, _ := feed.follower.Next(mtnews.Listener, now.Add(time.Second))
	require.Equal(t, mtnews.Sleep, action)

	gateway.Changed(batch(0, 1, false), now)
	require.Equal(t, 1, gateway.targets["e-1"].Slots)
}
