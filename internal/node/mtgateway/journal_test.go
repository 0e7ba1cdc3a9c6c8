package mtgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
)

// At ten times the load of the larger site the lines stay within their bound, and failures are not crowded out.
func TestVolumeOfTheLogIsBoundedUnderLoad(t *testing.T) {
	output := &bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(output)
	journal := newJournal(logger)
	now := time.Unix(1000, 0)
	const requests = 5000
	written := map[importance]int{}
	for n := range requests {
		at := now.Add(time.Duration(n) * time.Second / requests)
		for _, importance := range []importance{ordinary, failure} {
			if journal.admits(importance, at) {
				journal.write(mtevent.CallAnswered, logrus.Fields{})
				written[importance]++
			}
		}
	}
	require.Equal(t, linesPerSecond, written)
	require.True(t, journal.admits(ordinary, now.Add(time.Second)))
	require.Contains(t, output.String(), "failures=4800")
	require.Contains(t, output.String(), "ordinary=4960")
}
