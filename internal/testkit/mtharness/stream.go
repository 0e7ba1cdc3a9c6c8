package mtharness

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

// LogStream is an in-memory stand-in for one stream of the platform's log.
type LogStream struct {
	mu      sync.Mutex
	entries []*platformv1.Entry
	// appended is closed and replaced at each append and change of the faults.
	appended chan struct{}
	// Unavailable makes each request fail.
	Unavailable bool
	// LoseResponses makes appends fail after they took effect.
	LoseResponses bool
	// AppendCount is the number of appends that took effect.
	AppendCount int
}

// NewLogStream returns an empty stream.
func NewLogStream() *LogStream {
	return &LogStream{
		appended: make(chan struct{}),
	}
}

var errUnavailable = errors.New("log is unavailable")

// SetFaults sets both faults and wakes the waiting readers: unavailable fails each request, loseResponses fails appends
// after they took effect.
func (s *LogStream) SetFaults(unavailable, loseResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Unavailable = unavailable
	s.LoseResponses = loseResponses
	close(s.appended)
	s.appended = make(chan struct{})
}

// Append adds a message to the stream and returns its offset.
func (s *LogStream) Append(_ context.Context, message proto.Message) (uint64, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Unavailable {
		return 0, errUnavailable
	}
	offset := uint64(len(s.entries))
	s.AppendCount++
	s.entries = append(s.entries, &platformv1.Entry{
		Offset: offset,
		Data:   data,
	})
	close(s.appended)
	s.appended = make(chan struct{})
	if s.LoseResponses {
		return 0, errUnavailable
	}
	return offset, nil
}

// Read returns the entries from an offset on. If there are none, it waits for the first one, and returns an empty
// response once the wait is over.
func (s *LogStream) Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		appended, unavailable := s.appended, s.Unavailable
		response := &platformv1.ReadResponse{
			Next: uint64(len(s.entries)),
		}
		if from < response.Next {
			response.Entries = s.entries[from:]
		}
		s.mu.Unlock()
		if unavailable {
			return nil, errUnavailable
		}
		if len(response.Entries) > 0 {
			return response, nil
		}
		select {
		case <-appended:
		case <-deadline:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
