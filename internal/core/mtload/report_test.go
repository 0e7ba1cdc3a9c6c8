package mtload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtload"
)

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "TEXT ", "TEXT named_metrics.running=1", "TEXT named_metrics.running=NaN", "TEXT a=1e400", "JSON {}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		report, found := mtload.Parse(text)
		if !found {
			return
		}
		for _, value := range []float64{report.Running, report.Queued, report.Slots} {
			require.True(t, value >= 0 && value <= 1e6,
				"a value of a report must be in the range that the estimates of load allow")
		}
		reparsed, found := mtload.Parse(report.String())
		require.True(t, found)
		require.Equal(t, report, reparsed)
	})
}
