// Two goroutines share the work: one reads batches from the log, the other applies them, joined by a channel, so a slow
// application of records does not delay the next question to the log by more than one batch.
//
//	log -> read -> chan *platformv1.ReadResponse -> apply -> state
//
// An instance that starts, or that was cut off for longer than the log keeps records, needs a snapshot. It reads all
// that the log still has, takes the newest snapshot that reaches back to the oldest record, and goes on from there.
// Without one it waits for a peer's state.

package mtfeed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	readWait      = 2 * time.Second
	appendTimeout = 5 * time.Second
	retryDelay    = 500 * time.Millisecond
	// snapshotFactor is the number of snapshots within the log's retention.
	snapshotFactor = 4
	// rankFactor divides the retention into the delays between ranks.
	rankFactor = 64
)

// state is what the log is folded into.
type state interface {
	Apply(entries []*platformv1.Entry) error
	Merge(snapshot *recordv1.Snapshot)
	Applied() uint64
	CheckEnd(next uint64) error
	Since(offset uint64) *recordv1.Snapshot
	Refresh(now time.Time)
	IsReady() bool
}

// log is the stream of configuration on the platform's log.
type log interface {
	Append(ctx context.Context, message proto.Message) (uint64, error)
	Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error)
}

// Feed is the connection to the platform's log.
type Feed struct {
	log    log
	state  state
	logger *logrus.Logger
	lost   bool
	// snapshot is when the last snapshot was seen on the log, in nanoseconds of Unix time.
	snapshot atomic.Int64
}

// NewFeed returns a feed from the log's stream of configuration.
func NewFeed(log log, state state, logger *logrus.Logger) *Feed {
	feed := &Feed{
		log:    log,
		state:  state,
		logger: logger,
	}
	feed.snapshot.Store(time.Now().UnixNano())
	return feed
}

// Run reads and applies until the context ends.
func (f *Feed) Run(ctx context.Context) {
	batches := make(chan *platformv1.ReadResponse)
	applied := make(chan struct{})
	go f.readAll(ctx, batches, applied)
	for next := range batches {
		f.apply(next)
		applied <- struct{}{}
	}
}

func (f *Feed) readAll(ctx context.Context, batches chan<- *platformv1.ReadResponse, applied <-chan struct{}) {
	defer close(batches)
	for ctx.Err() == nil {
		next, err := f.readNext(ctx)
		if err != nil {
			f.reportLost(ctx, err)
			pause(ctx, retryDelay)
			continue
		}
		f.reportBack()
		select {
		case batches <- next:
			<-applied
		case <-ctx.Done():
		}
	}
}

func (f *Feed) readNext(ctx context.Context) (*platformv1.ReadResponse, error) {
	from := f.state.Applied()
	next, err := f.log.Read(ctx, from, readWait)
	if err != nil || from >= next.GetOldest() {
		return next, err
	}
	return f.readSnapshot(ctx, next)
}

// readSnapshot reads all that the log keeps and merges the newest snapshot that leaves no gap.
func (f *Feed) readSnapshot(ctx context.Context, first *platformv1.ReadResponse) (*platformv1.ReadResponse, error) {
	var best *recordv1.Snapshot
	for from := first.GetOldest(); from < first.GetNext(); {
		part, err := f.log.Read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		if len(part.GetEntries()) == 0 {
			break
		}
		for _, entry := range part.GetEntries() {
			if found := snapshotOf(entry); found.GetThrough() >= first.GetOldest() && found.GetThrough() > best.GetThrough() {
				best = found
			}
			from = entry.GetOffset() + 1
		}
	}
	if best == nil {
		mtevent.LogRecordsMissing.Log(f.logger, logrus.Fields{
			"oldest": first.GetOldest(),
		})
		pause(ctx, retryDelay)
		return first, nil
	}
	f.state.Merge(best)
	mtevent.SnapshotLoaded.Log(f.logger, logrus.Fields{
		"through": best.GetThrough(),
	})
	return f.readNext(ctx)
}

func snapshotOf(entry *platformv1.Entry) *recordv1.Snapshot {
	record := &recordv1.Record{}
	if err := proto.Unmarshal(entry.GetData(), record); err != nil {
		return nil
	}
	return record.GetSnapshot()
}

func (f *Feed) apply(next *platformv1.ReadResponse) {
	if err := f.state.CheckEnd(next.GetNext()); err != nil {
		mtevent.LogRegressed.Log(f.logger, logrus.Fields{
			"error": err.Error(),
		})
		return
	}
	if f.state.Applied() < next.GetOldest() {
		return
	}
	for _, entry := range next.GetEntries() {
		if snapshotOf(entry) != nil {
			f.snapshot.Store(entry.GetAppended().AsTime().UnixNano())
		}
	}
	// A gap is read again from the offset applied, so its error needs no further care.
	if err := f.state.Apply(next.GetEntries()); err == nil && f.state.Applied() >= next.GetNext() {
		f.becomeReady()
	}
}

func (f *Feed) becomeReady() {
	if !f.state.IsReady() {
		mtevent.InstanceReady.Log(f.logger, logrus.Fields{
			"applied": f.state.Applied(),
		})
	}
	f.state.Refresh(time.Now())
}

func (f *Feed) reportLost(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	mtevent.LogUnreadable.Log(f.logger, logrus.Fields{
		"error": err.Error(),
	})
}

func (f *Feed) reportBack() {
	if f.lost {
		f.lost = false
		mtevent.LogReadable.Log(f.logger, logrus.Fields{})
	}
}

func pause(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// KeepSnapshot appends a snapshot when a quarter of the retention has passed since the last one on the log.
//
// The instance of rank 0 comes first; each further rank waits longer, in case those before it can't reach the log. Two
// snapshots do no harm.
func (f *Feed) KeepSnapshot(ctx context.Context, retention time.Duration, rank int, now time.Time) {
	due := retention/snapshotFactor + time.Duration(rank)*retention/rankFactor
	if !f.state.IsReady() || now.Sub(time.Unix(0, f.snapshot.Load())) < due {
		return
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := f.log.Append(limited, &recordv1.Record{
		Id: "snapshot-" + now.UTC().Format(time.RFC3339Nano),
		Body: &recordv1.Record_Snapshot{
			Snapshot: f.state.Since(0),
		},
	})
	if err != nil {
		return
	}
	f.snapshot.Store(now.UnixNano())
	mtevent.SnapshotAppended.Log(f.logger, logrus.Fields{
		"offset": offset,
	})
}
