package mtfakeplatform

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

const (
	maxEntryBytes = 1 << 20
	maxReadWait   = 10 * time.Second
)

// Log is an append-only log in memory, with a retention time and injectable faults.
type Log struct {
	retention     time.Duration
	mu            sync.Mutex
	streams       map[string]*stream
	unavailable   bool
	requestDelay  time.Duration
	loseResponses bool
}

type stream struct {
	// oldest is the offset of the first entry of entries.
	oldest  uint64
	entries []*platformv1.Entry
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// NewLog returns an empty log that retains entries for a time.
func NewLog(retention time.Duration) *Log {
	return &Log{
		retention: retention,
		streams:   map[string]*stream{},
	}
}

// SetFaults replaces all faults: unavailable fails each request, requestDelay delays each request, and loseResponses
// fails appends after they took effect.
func (l *Log) SetFaults(unavailable bool, requestDelay time.Duration, loseResponses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.requestDelay = requestDelay
	l.loseResponses = loseResponses
}

func (l *Log) faults() (unavailable bool, requestDelay time.Duration, loseResponses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unavailable, l.requestDelay, l.loseResponses
}

// stream returns the stream of a name and creates it if it is missing; the caller holds the mutex.
func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{
			appended: make(chan struct{}),
		}
	}
	return l.streams[name]
}

// Append adds an entry to a stream and returns its offset.
func (l *Log) Append(
	ctx context.Context, request *connect.Request[platformv1.AppendRequest],
) (*connect.Response[platformv1.AppendResponse], error) {
	unavailable, requestDelay, loseResponses := l.faults()
	if err := sleep(ctx, requestDelay); err != nil {
		return nil, err
	}
	if unavailable {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the log is out"))
	}
	if len(request.Msg.GetData()) > maxEntryBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("data: more than 1 MiB"))
	}
	offset := l.add(request.Msg, time.Now())
	if loseResponses {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the answer was lost"))
	}
	return connect.NewResponse(&platformv1.AppendResponse{
		Offset: offset,
	}), nil
}

// add appends an entry to its stream and wakes the waiting readers.
func (l *Log) add(request *platformv1.AppendRequest, now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.stream(request.GetStream())
	offset := target.oldest + uint64(len(target.entries))
	target.entries = append(target.entries, &platformv1.Entry{
		Offset:   offset,
		Appended: timestamppb.New(now),
		Data:     request.GetData(),
	})
	close(target.appended)
	target.appended = make(chan struct{})
	return offset
}

// Read returns the entries of a stream from an offset on. If there are none, it waits for one as long as the request
// allows, but at most maxReadWait. It returns at once if the offset is older than the oldest retained entry.
func (l *Log) Read(
	ctx context.Context, request *connect.Request[platformv1.ReadRequest],
) (*connect.Response[platformv1.ReadResponse], error) {
	deadline := time.After(min(maxReadWait, request.Msg.GetWait().AsDuration()))
	for {
		unavailable, requestDelay, _ := l.faults()
		if err := sleep(ctx, requestDelay); err != nil {
			return nil, err
		}
		if unavailable {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the log is out"))
		}
		response, appended := l.read(request.Msg, time.Now())
		if len(response.GetEntries()) > 0 || request.Msg.GetFrom() < response.GetOldest() {
			return connect.NewResponse(response), nil
		}
		select {
		case <-appended:
		case <-deadline:
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// read drops the expired entries of a stream. It returns the requested ones and a channel that the next append closes.
func (l *Log) read(request *platformv1.ReadRequest, now time.Time) (*platformv1.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	source := l.stream(request.GetStream())
	for len(source.entries) > 0 && now.Sub(source.entries[0].GetAppended().AsTime()) > l.retention {
		source.entries = source.entries[1:]
		source.oldest++
	}
	response := &platformv1.ReadResponse{
		Oldest: source.oldest,
		Next:   source.oldest + uint64(len(source.entries)),
	}
	if from := request.GetFrom(); from >= source.oldest && from < response.Next {
		response.Entries = source.entries[from-source.oldest:]
		if limit := int(request.GetLimit()); limit > 0 && len(response.Entries) > limit {
			response.Entries = response.Entries[:limit]
		}
	}
	return response, source.appended
}

// OldestOffset returns the offset of the oldest retained entry of a stream.
func (l *Log) OldestOffset(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).oldest
}

// sleep waits for a duration; it fails if the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
