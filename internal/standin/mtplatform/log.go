package mtplatform

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
	entrySize = 1 << 20
	waitLimit = 10 * time.Second
)

// Log is an append-only log in memory that keeps entries for a time and can be made to fail.
type Log struct {
	retention time.Duration
	mu        sync.Mutex
	streams   map[string]*stream
	out       bool
	slow      time.Duration
	lose      bool
}

type stream struct {
	oldest   uint64
	entries  []*platformv1.Entry
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog(retention time.Duration) *Log {
	return &Log{
		retention: retention,
		streams:   map[string]*stream{},
	}
}

// SetFaults replaces the behaviour: out fails each request, slow delays it, lose fails appends after they took effect.
func (l *Log) SetFaults(out bool, slow time.Duration, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
	l.slow = slow
	l.lose = lose
}

func (l *Log) faults() (out bool, slow time.Duration, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out, l.slow, l.lose
}

func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{
			appended: make(chan struct{}),
		}
	}
	return l.streams[name]
}

// Append adds an entry.
func (l *Log) Append(ctx context.Context, request *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	out, slow, lose := l.faults()
	if err := delay(ctx, slow); err != nil {
		return nil, err
	}
	if out {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the log is out"))
	}
	if len(request.Msg.GetData()) > entrySize {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("data: more than 1 MiB"))
	}
	offset := l.add(request.Msg, time.Now())
	if lose {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the answer was lost"))
	}
	return connect.NewResponse(&platformv1.AppendResponse{
		Offset: offset,
	}), nil
}

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

// Read returns entries, and waits for a first one as long as the request says.
func (l *Log) Read(ctx context.Context, request *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	deadline := time.After(min(waitLimit, request.Msg.GetWait().AsDuration()))
	for {
		out, slow, _ := l.faults()
		if err := delay(ctx, slow); err != nil {
			return nil, err
		}
		if out {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the log is out"))
		}
		answer, appended := l.read(request.Msg, time.Now())
		if len(answer.GetEntries()) > 0 || request.Msg.GetFrom() < answer.GetOldest() {
			return connect.NewResponse(answer), nil
		}
		select {
		case <-appended:
		case <-deadline:
			return connect.NewResponse(answer), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Log) read(request *platformv1.ReadRequest, now time.Time) (*platformv1.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	source := l.stream(request.GetStream())
	for len(source.entries) > 0 && now.Sub(source.entries[0].GetAppended().AsTime()) > l.retention {
		source.entries = source.entries[1:]
		source.oldest++
	}
	answer := &platformv1.ReadResponse{
		Oldest: source.oldest,
		Next:   source.oldest + uint64(len(source.entries)),
	}
	if from := request.GetFrom(); from >= source.oldest && from < answer.Next {
		answer.Entries = source.entries[from-source.oldest:]
		if limit := int(request.GetLimit()); limit > 0 && len(answer.Entries) > limit {
			answer.Entries = answer.Entries[:limit]
		}
	}
	return answer, source.appended
}

// Oldest returns the offset of the oldest entry that a stream still keeps.
func (l *Log) Oldest(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).oldest
}

func delay(ctx context.Context, slow time.Duration) error {
	if slow <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(slow):
		return nil
	}
}
