package mtbody_test

import (
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtbody"
)

// blockingSource counts its reads and blocks in each of them until release is closed.
type blockingSource struct {
	reads   int
	entered chan struct{}
	release chan struct{}
}

func (s *blockingSource) Read([]byte) (int, error) {
	s.reads++
	s.entered <- struct{}{}
	<-s.release
	return 0, errors.New("interrupted")
}

func TestSourceIsNotReadAfterStop(t *testing.T) {
	blocked := &blockingSource{
		entered: make(chan struct{}),
		release: make(chan struct{}),
	}
	body := mtbody.NewBody(blocked, 100)
	readEnded := make(chan struct{})
	reader := body.NewReader()
	go func() {
		defer close(readEnded)
		_, _ = reader.Read(make([]byte, 10))
	}()
	<-blocked.entered
	body.StopReading(func() {
		close(blocked.release)
	})
	<-readEnded
	_, err := reader.Read(make([]byte, 10))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF, "a truncated body must not look complete")
	require.Equal(t, 1, blocked.reads)
	require.False(t, body.CanReopen())
}

func TestSourceIsNotReadWhenStoppedBeforeAnyRead(t *testing.T) {
	unread := &blockingSource{}
	body := mtbody.NewBody(unread, 100)
	body.StopReading(func() {
		require.Fail(t, "interrupt was called although no read was in progress")
	})
	_, err := body.NewReader().Read(make([]byte, 10))
	require.Error(t, err)
	require.Zero(t, unread.reads)
}
