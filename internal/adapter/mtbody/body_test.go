package mtbody_test

import (
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtbody"
)

// source counts its reads and blocks in each until it is let go.
type source struct {
	reads   int
	entered chan struct{}
	leave   chan struct{}
}

func (s *source) Read([]byte) (int, error) {
	s.reads++
	s.entered <- struct{}{}
	<-s.leave
	return 0, errors.New("interrupted")
}

func TestSourceIsNotReadAfterStop(t *testing.T) {
	blocked := &source{
		entered: make(chan struct{}),
		leave:   make(chan struct{}),
	}
	body := mtbody.NewBody(blocked, 100)
	ended := make(chan struct{})
	reader := body.Open()
	go func() {
		defer close(ended)
		_, _ = reader.Read(make([]byte, 10))
	}()
	<-blocked.entered
	body.Stop(func() {
		close(blocked.leave)
	})
	<-ended
	_, err := reader.Read(make([]byte, 10))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF, "a body that was cut short must not look whole")
	require.Equal(t, 1, blocked.reads)
	require.False(t, body.CanReopen())
}

func TestStopBeforeAnyReadLeavesTheSourceAlone(t *testing.T) {
	untouched := &source{}
	body := mtbody.NewBody(untouched, 100)
	body.Stop(func() {
		require.Fail(t, "nothing was under way")
	})
	_, err := body.Open().Read(make([]byte, 10))
	require.Error(t, err)
	require.Zero(t, untouched.reads)
}
