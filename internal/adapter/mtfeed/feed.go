// Two goroutines share the work: one reads batches from the log, the other applies them, joined by a channel, so a slow
// application of records does not delay the next question to the log by more than one batch.
//
//	log -> read -> chan batch -> apply -> state
//
// An instance that starts, or that was cut off for longer than the log keeps records, needs a snapshot. It reads all
// that the log still has, takes the newest snapshot that reaches back to the oldest record, and goes on from there.
// Without one it waits for a peer's state.

package mtfeed

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	// stream is the name of the stream of configuration.
	stream      = "mangotack"
	batchLimit  = 500
	readWait    = 2 * time.Second
	readTimeout = 5 * time.Second
	retryDelay  = 500 * time.Millisecond
	// snapshotFactor is the number of snapshots within the log's retention.
	snapshotFactor = 4
	// rankFactor divides the retention into the delays between ranks.
	rankFactor = 64
)

// State is what the log is folded into.
type State interface {
	Apply(entries []*platformv1.Entry) error
	Merge(snapshot *recordv1.Snapshot)
	Applied() uint64
	CheckEnd(next uint64) error
	Since(offset uint64) *recordv1.Snapshot
	Refresh(now time.Time)
	IsReady() bool
}

// Feed is the connection to the platform's log.
type Feed struct {
	client platformv1connect.LogServiceClient
	state  State
	logger *logrus.Logger
	lost   bool
	// snapshot is when the last snapshot was seen on the log, in nanoseconds of Unix time.
	snapshot atomic.Int64
}

type batch struct {
	entries []*platformv1.Entry
	oldest  uint64
	next    uint64
}

// NewFeed returns a feed from the log at an IP number and port.
func NewFeed(address string, state State, logger *logrus.Logger) *Feed {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
		},
	}
	feed := &Feed{
		client: platformv1connect.NewLogServiceClient(client, "http://"+address),
		state:  state,
		logger: logger,
	}
	feed.snapshot.Store(time.Now().UnixNano())
	return feed
}

// Run reads and applies until the context ends.
func (f *Feed) Run(ctx context.Context) {
	batches := make(chan batch)
	applied := make(chan struct{})
	go f.readAll(ctx, batches, applied)
	for next := range batches {
		f.apply(next)
		applied <- struct{}{}
	}
}

func (f *Feed) readAll(ctx context.Context, batches chan<- batch, applied <-chan struct{}) {
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

func (f *Feed) readNext(ctx context.Context) (batch, error) {
	from := f.state.Applied()
	next, err := f.read(ctx, from, readWait)
	if err != nil || from >= next.oldest {
		return next, err
	}
	return f.readSnapshot(ctx, next)
}

func (f *Feed) read(ctx context.Context, from uint64, wait time.Duration) (batch, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answer, err := f.client.Read(limited, connect.NewRequest(&platformv1.ReadRequest{
		Stream: stream,
		From:   from,
		Limit:  batchLimit,
		Wait:   durationpb.New(wait),
	}))
	if err != nil {
		return batch{}, err
	}
	return batch{
		entries: answer.Msg.GetEntries(),
		oldest:  answer.Msg.GetOldest(),
		next:    answer.Msg.GetNext(),
	}, nil
}

// readSnapshot reads all that the log keeps and merges the newest snapshot that leaves no gap.
func (f *Feed) readSnapshot(ctx context.Context, first batch) (batch, error) {
	var best *recordv1.Snapshot
	for from := first.oldest; from < first.next; {
		part, err := f.read(ctx, from, 0)
		if err != nil {
			return batch{}, err
		}
		if len(part.entries) == 0 {
			break
		}
		for _, entry := range part.entries {
			if found := snapshotOf(entry); found.GetThrough() >= first.oldest && found.GetThrough() > best.GetThrough() {
				best = found
			}
			from = entry.GetOffset() + 1
		}
	}
	if best == nil {
		mtevent.LogForgot.Log(f.logger, logrus.Fields{
			"oldest": first.oldest,
		})
		pause(ctx, retryDelay)
		return batch{
			oldest: first.oldest,
			next:   first.next,
		}, nil
	}
	f.state.Merge(best)
	mtevent.SnapshotRead.Log(f.logger, logrus.Fields{
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

func (f *Feed) apply(next batch) {
	if err := f.state.CheckEnd(next.next); err != nil {
		mtevent.LogBackwards.Log(f.logger, logrus.Fields{
			"error": err.Error(),
		})
		return
	}
	if f.state.Applied() < next.oldest {
		return
	}
	for _, entry := range next.entries {
		if snapshotOf(entry) != nil {
			f.snapshot.Store(entry.GetAppended().AsTime().UnixNano())
		}
	}
	// A gap is read again from the offset applied, so its error needs no further care.
	if err := f.state.Apply(next.entries); err == nil && f.state.Applied() >= next.next {
		f.becomeReady()
	}
}

func (f *Feed) becomeReady() {
	if !f.state.IsReady() {
		mtevent.Ready.Log(f.logger, logrus.Fields{
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
	mtevent.LogLost.Log(f.logger, logrus.Fields{
		"error": err.Error(),
	})
}

func (f *Feed) reportBack() {
	if f.lost {
		f.lost = false
		mtevent.LogBack.Log(f.logger, logrus.Fields{})
	}
}

func pause(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// Append appends a record and returns its offset; after an error the record may or may not be on the log.
func (f *Feed) Append(ctx context.Context, record *recordv1.Record) (uint64, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return 0, err
	}
	answer, err := f.client.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{
		Stream: stream,
		Data:   data,
	}))
	if err != nil {
		return 0, err
	}
	return answer.Msg.GetOffset(), nil
}

// End returns the offset that the next append would get.
func (f *Feed) End(ctx context.Context) (uint64, error) {
	answer, err := f.read(ctx, ^uint64(0), 0)
	return answer.next, err
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
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	offset, err := f.Append(limited, &recordv1.Record{
		Id: "snapshot-" + now.UTC().Format(time.RFC3339Nano),
		Body: &recordv1.Record_Snapshot{
			Snapshot: f.state.Since(0),
		},
	})
	if err != nil {
		return
	}
	f.snapshot.Store(now.UnixNano())
	mtevent.SnapshotSent.Log(f.logger, logrus.Fields{
		"offset": offset,
	})
}
