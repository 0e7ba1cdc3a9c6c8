package mtharness

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

// Stream is one stream of the platform's log in memory.
type Stream struct {
	mu       sync.Mutex
	entries  []*platformv1.Entry
	appended chan struct{}
	// Out makes each request fail, and Lose makes appends take effect and then fail.
	Out  bool
	Lose bool
	// Appends is the number of appends that took effect.
	Appends int
}

// NewStream returns an empty stream.
func NewStream() *Stream {
	return &Stream{
		appended: make(chan struct{}),
	}
}

var errOut = errors.New("the log is out")

// SetFaults replaces the behaviour.
func (s *Stream) SetFaults(out, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Out = out
	s.Lose = lose
	close(s.appended)
	s.appended = make(chan struct{})
}

// Append adds a message.
func (s *Stream) Append(_ context.Context, message proto.Message) (uint64, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Out {
		return 0, errOut
	}
	offset := uint64(len(s.entries))
	s.Appends++
	s.entries = append(s.entries, &platformv1.Entry{
		Offset: offset,
		Data:   data,
	})
	close(s.appended)
	s.appended = make(chan struct{})
	if s.Lose {
		return 0, errOut
	}
	return offset, nil
}

// Read returns the entries from an offset on, and waits for a first one.
func (s *Stream) Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		appended, out := s.appended, s.Out
		answer := &platformv1.ReadResponse{
			Next: uint64(len(s.entries)),
		}
		if from < answer.Next {
			answer.Entries = s.entries[from:]
		}
		s.mu.Unlock()
		if out {
			return nil, errOut
		}
		if len(answer.Entries) > 0 {
			return answer, nil
		}
		select {
		case <-appended:
		case <-deadline:
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
