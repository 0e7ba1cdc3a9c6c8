package mtcompare

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testReport = `{"G": 0.61, "fault": null, "breaks": {},
	"parts": [["whole day", 0.28, 0.9], ["worst windows", 0.4, 0.5]],
	"prices": [["GB between zones", 0.012, 0.04], ["new connections to servers", 665.0, 0.01], ["cloud calls", 295.0, 0.007]],
	"all": {"n": 202, "not_owed": 2, "in_aim": 180, "late": 10, "refused": 6, "failed": 4}}`

func writeReport(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "report.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestReportIsRead(t *testing.T) {
	figures, err := readReport(writeReport(t, testReport))
	require.NoError(t, err)
	require.Equal(t, Figures{
		Worth:        0.61,
		WorstWindows: 0.5,
		InAim:        90,
		Late:         5,
		Refused:      3,
		Failed:       2,
		Connections:  665,
		StoreCalls:   295,
		CrossBytes:   12,
	}, figures)
}

func TestDayWithBrokenRuleIsAnError(t *testing.T) {
	for _, broken := range []string{
		strings.Replace(testReport, `"breaks": {}`, `"breaks": {"DRAIN": 1}`, 1),
		strings.Replace(testReport, `"fault": null`, `"fault": "a program ended"`, 1),
	} {
		_, err := readReport(writeReport(t, broken))
		require.Error(t, err)
	}
}

func TestPairsAreRead(t *testing.T) {
	pairs, err := readPairs(writeReport(t, "# comment\n\nfurther/site trouble-1 7\n"))
	require.NoError(t, err)
	require.Equal(t, []Pair{{Site: "further/site", Day: "trouble-1", Seed: 7}}, pairs)
	for _, wrong := range []string{"site day", "site day seven"} {
		_, err := readPairs(writeReport(t, wrong))
		require.ErrorContains(t, err, ":1: found")
	}
}

func TestSummaryHasMeanAndStandardError(t *testing.T) {
	mean, standardError := meanWithError([]float64{1, 2, 3})
	require.InDelta(t, 2, mean, 1e-9)
	require.InDelta(t, 1/math.Sqrt(3), standardError, 1e-9)
	out := &strings.Builder{}
	require.NoError(t, writeSummary(out, []Pair{
		{Site: "a", Before: Figures{Worth: 0.5}, After: Figures{Worth: 0.6}},
		{Site: "a", Before: Figures{Worth: 0.5}, After: Figures{Worth: 0.8}},
	}))
	require.Regexp(t, `worth +0\.5000 +0\.7000 +\+0\.2000 +0\.1000`, out.String())
}

// Two comparisons in one directory would play each other's revisions.
func TestWorkDirectoryIsLocked(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "work")
	unlock, err := lockDirectory(directory)
	require.NoError(t, err)
	_, err = lockDirectory(directory)
	require.ErrorContains(t, err, "in use")
	unlock()
	unlock, err = lockDirectory(directory)
	require.NoError(t, err)
	unlock()
}
