package mtgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
)

// At ten times the load of the larger site, the lines stay within their limits and ordinary lines do not crowd out
// failures.
func TestRequestLogLimitsLinesUnderLoad(t *testing.T) {
	output := &bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(output)
	log := newRequestLog(logger)
	now := time.Unix(1000, 0)
	const requests = 5000
	written := map[importance]int{}
	for n := range requests {
		at := now.Add(time.Duration(n) * time.Second / requests)
		for _, importance := range []importance{importanceOrdinary, importanceFailure} {
			if log.allow(importance, at) {
				log.write(mtevent.CallAnswered, logrus.Fields{})
				written[importance]++
			}
		}
	}
	require.Equal(t, maxLinesPerSecond, written)
	require.True(t, log.allow(importanceOrdinary, now.Add(time.Second)))
	require.Contains(t, output.String(), "failures=4800")
	require.Contains(t, output.String(), "ordinary=4960")
}
