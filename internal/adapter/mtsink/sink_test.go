package mtsink

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is an output whose reader has stopped until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

func TestReaderThatHasStoppedHoldsNobodyBack(t *testing.T) {
	output := &stuck{
		release: make(chan struct{}),
	}
	sink := NewSink(output)
	const lines = 3 * queueLines
	for n := range lines {
		// A sink that blocked would end the test by its time limit.
		_, err := fmt.Fprintf(sink, "line %d\n", n)
		require.NoError(t, err)
	}
	dropped := sink.Total()
	require.GreaterOrEqual(t, dropped, int64(lines-queueLines-1))
	close(output.release)
	sink.Close()
	<-sink.done
	// The writer may have begun late, and then tells of what was dropped in two lines.
	told := int64(0)
	for _, match := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(output.text.String(), -1) {
		count, err := strconv.ParseInt(match[1], 10, 64)
		require.NoError(t, err)
		told += count
	}
	require.Equal(t, dropped, told)
	require.Equal(t, lines-int(dropped), strings.Count(output.text.String(), "line "))
}
