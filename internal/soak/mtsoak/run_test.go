package mtsoak

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/soak/mtschedule"
)

// A short run without the invariants that need processor time; make soak does longer runs. Of the invariants that
// docs/TESTING.md breaks on purpose this seed finds three: once, not-run and answered.
func TestShortRunHasNoViolations(t *testing.T) {
	directory := t.TempDir()
	binary := filepath.Join(directory, "mangotack")
	output, err := exec.Command("go", "build", "-o", binary, "../../../cmd/mangotack").CombinedOutput()
	require.NoError(t, err, string(output))
	log := &bytes.Buffer{}
	violations, counts, err := Run(context.Background(), Settings{
		Seed: 127899,
		Schedule: mtschedule.Parameters{
			Duration:     5 * time.Second,
			Instances:    3,
			Endpoints:    6,
			MeanInterval: 200 * time.Millisecond,
		},
		Callers:    12,
		Binary:     binary,
		Directory:  directory,
		SkipTiming: true,
	}, log)
	require.NoError(t, err)
	require.Empty(t, violations, log.String())
	require.Positive(t, counts["200"])
}
