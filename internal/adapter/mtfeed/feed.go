// One goroutine reads batches from the log and another applies them. They are joined by a channel, so slow application
// of records delays the next read of the log by at most one batch.
//
//	log -> read -> chan *platformv1.ReadResponse -> apply -> state
//
// An instance that starts, or that was disconnected for longer than the log retains records, needs a snapshot. It reads
// all records that the log still has, loads the newest snapshot that leaves no gap before the oldest record, and
// continues from there. Without such a snapshot it waits for the state of a peer.

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
	// maxReadWait bounds how long a read waits for the first entry.
	maxReadWait   = 2 * time.Second
	appendTimeout = 5 * time.Second
	retryDelay    = 500 * time.Millisecond
	// snapshotsPerRetention is the number of snapshots appended within the log's retention.
	snapshotsPerRetention = 4
	// rankDelaysPerRetention is the retention divided by the extra delay of each rank.
	rankDelaysPerRetention = 64
)

// configurationState is the state that the records of the log are applied to.
type configurationState interface {
	Apply(entries []*platformv1.Entry) error
	Merge(snapshot *recordv1.Snapshot)
	NextOffset() uint64
	CheckLogEnd(next uint64) error
	SnapshotSince(offset uint64) *recordv1.Snapshot
	ConfirmCurrent(now time.Time)
	IsReady() bool
}

// configurationLog is the configuration stream of the platform's log.
type configurationLog interface {
	Append(ctx context.Context, message proto.Message) (uint64, error)
	Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error)
}

// Follower follows the configuration stream of the platform's log.
type Follower struct {
	log    configurationLog
	state  configurationState
	logger *logrus.Logger
	// unreadable is set while reads of the log fail, so that only the first failure is logged.
	unreadable bool
	// lastSnapshot is when the last snapshot was appended to the log, or when the feed was created if none is known, in
	// nanoseconds of Unix time.
	lastSnapshot atomic.Int64
}

// NewFollower returns a feed that applies the records of log to state.
func NewFollower(log configurationLog, state configurationState, logger *logrus.Logger) *Follower {
	feed := &Follower{
		log:    log,
		state:  state,
		logger: logger,
	}
	feed.lastSnapshot.Store(time.Now().UnixNano())
	return feed
}

// Run reads the log and applies its records until the context ends.
func (f *Follower) Run(ctx context.Context) {
	batches := make(chan *platformv1.ReadResponse)
	applied := make(chan struct{})
	go f.readBatches(ctx, batches, applied)
	for batch := range batches {
		f.applyBatch(batch)
		applied <- struct{}{}
	}
}

func (f *Follower) readBatches(ctx context.Context, batches chan<- *platformv1.ReadResponse, applied <-chan struct{}) {
	defer close(batches)
	for ctx.Err() == nil {
		batch, err := f.readBatch(ctx)
		if err != nil {
			f.logUnreadable(ctx, err)
			sleep(ctx, retryDelay)
			continue
		}
		f.logReadable()
		select {
		case batches <- batch:
			<-applied
		case <-ctx.Done():
		}
	}
}

// readBatch reads the records from the applied offset on, and loads a snapshot first if the log no longer has them.
func (f *Follower) readBatch(ctx context.Context) (*platformv1.ReadResponse, error) {
	from := f.state.NextOffset()
	batch, err := f.log.Read(ctx, from, maxReadWait)
	if err != nil || from >= batch.GetOldest() {
		return batch, err
	}
	return f.loadSnapshot(ctx, batch)
}

// loadSnapshot reads all records that the log retains, merges the newest snapshot that leaves no gap before the oldest
// of them, and reads on from there. Without such a snapshot it returns first after retryDelay.
func (f *Follower) loadSnapshot(ctx context.Context, first *platformv1.ReadResponse) (*platformv1.ReadResponse, error) {
	var newest *recordv1.Snapshot
	for from := first.GetOldest(); from < first.GetNext(); {
		batch, err := f.log.Read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.GetEntries()) == 0 {
			break
		}
		for _, entry := range batch.GetEntries() {
			if found := snapshotOf(entry); found.GetThrough() >= first.GetOldest() &&
				found.GetThrough() > newest.GetThrough() {
				newest = found
			}
			from = entry.GetOffset() + 1
		}
	}
	if newest == nil {
		mtevent.LogRecordsMissing.Log(f.logger, logrus.Fields{
			"oldest": first.GetOldest(),
		})
		sleep(ctx, retryDelay)
		return first, nil
	}
	f.state.Merge(newest)
	mtevent.SnapshotLoaded.Log(f.logger, logrus.Fields{
		"through": newest.GetThrough(),
	})
	return f.readBatch(ctx)
}

// snapshotOf returns the snapshot that an entry carries, or nil.
func snapshotOf(entry *platformv1.Entry) *recordv1.Snapshot {
	record := &recordv1.Record{}
	if err := proto.Unmarshal(entry.GetData(), record); err != nil {
		return nil
	}
	return record.GetSnapshot()
}

// applyBatch applies the records of a batch unless the log has regressed or a gap precedes the batch.
func (f *Follower) applyBatch(batch *platformv1.ReadResponse) {
	if err := f.state.CheckLogEnd(batch.GetNext()); err != nil {
		mtevent.LogRegressed.Log(f.logger, logrus.Fields{
			"error": err.Error(),
		})
		return
	}
	if f.state.NextOffset() < batch.GetOldest() {
		return
	}
	for _, entry := range batch.GetEntries() {
		if snapshotOf(entry) != nil {
			f.lastSnapshot.Store(entry.GetAppended().AsTime().UnixNano())
		}
	}
	// An error means a gap, which the next read closes because it starts at the applied offset.
	if err := f.state.Apply(batch.GetEntries()); err == nil && f.state.NextOffset() >= batch.GetNext() {
		f.confirmCurrent()
	}
}

// confirmCurrent records that the state is complete up to the end of the log.
func (f *Follower) confirmCurrent() {
	if !f.state.IsReady() {
		mtevent.InstanceReady.Log(f.logger, logrus.Fields{
			"applied": f.state.NextOffset(),
		})
	}
	f.state.ConfirmCurrent(time.Now())
}

func (f *Follower) logUnreadable(ctx context.Context, err error) {
	if f.unreadable || ctx.Err() != nil {
		return
	}
	f.unreadable = true
	mtevent.LogUnreadable.Log(f.logger, logrus.Fields{
		"error": err.Error(),
	})
}

func (f *Follower) logReadable() {
	if f.unreadable {
		f.unreadable = false
		mtevent.LogReadable.Log(f.logger, logrus.Fields{})
	}
}

// sleep returns after delay, or earlier when the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// AppendSnapshotIfDue appends a snapshot when 1/snapshotsPerRetention of the retention has passed since the last one in the
// log.
//
// The instance of rank 0 appends it. Each further rank waits longer and appends it only if the instances before it
// can't reach the log. Duplicate snapshots are harmless.
func (f *Follower) AppendSnapshotIfDue(ctx context.Context, retention time.Duration, rank int, now time.Time) {
	interval := retention/snapshotsPerRetention + time.Duration(rank)*retention/rankDelaysPerRetention
	if !f.state.IsReady() || now.Sub(time.Unix(0, f.lastSnapshot.Load())) < interval {
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := f.log.Append(appendCtx, &recordv1.Record{
		Id: "snapshot-" + now.UTC().Format(time.RFC3339Nano),
		Body: &recordv1.Record_Snapshot{
			Snapshot: f.state.SnapshotSince(0),
		},
	})
	if err != nil {
		return
	}
	f.lastSnapshot.Store(now.UnixNano())
	mtevent.SnapshotAppended.Log(f.logger, logrus.Fields{
		"offset": offset,
	})
}
