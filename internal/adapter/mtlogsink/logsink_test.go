package mtlogsink

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *blockedOutput) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

func TestWriteDoesNotBlockWhenTheOutputBlocks(t *testing.T) {
	output := &blockedOutput{
		release: make(chan struct{}),
	}
	sink := NewSink(output)
	const lineCount = 3 * maxQueuedLines
	for i := range lineCount {
		// A sink that blocks makes the test run into its timeout.
		_, err := fmt.Fprintf(sink, "line %d\n", i)
		require.NoError(t, err)
	}
	dropped := sink.DroppedLines()
	require.GreaterOrEqual(t, dropped, int64(lineCount-maxQueuedLines-1))
	close(output.release)
	sink.Close()
	<-sink.done
	// When the writing goroutine starts late, two lines report the dropped lines.
	reported := int64(0)
	for _, match := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(output.text.String(), -1) {
		count, err := strconv.ParseInt(match[1], 10, 64)
		require.NoError(t, err)
		reported += count
	}
	require.Equal(t, dropped, reported)
	require.Equal(t, lineCount-int(dropped), strings.Count(output.text.String(), "line "))
}
