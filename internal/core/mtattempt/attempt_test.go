package mtattempt_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtattempt"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// A committed attempt that the endpoint did not refuse must never be reported as not run, in whatever order the
// transitions come.
func TestNotRunIsReportedOnlyForAttemptThatDidNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := &mtattempt.Attempt{}
		sent, refused := false, false
		steps := rapid.SliceOf(rapid.SampledFrom([]string{
			"commit", "cancel", "shed", "drain", "deadline", "refuse", "answer", "lose",
		})).Draw(t, "steps")
		for _, step := range steps {
			switch step {
			case "commit":
				sent = attempt.Commit() || sent
			case "refuse":
				refused = attempt.MarkRefused() || refused
			case "answer":
				attempt.MarkAnswered()
			case "lose":
				attempt.MarkUnknown()
			default:
				attempt.Close()
			}
			if attempt.Outcome() == mtoutcome.NotRun {
				require.True(t, !sent || refused)
			}
		}
		if attempt.Outcome() == mtoutcome.NotRun {
			require.False(t, attempt.Commit(), "an attempt reported as not run must never be sent")
		}
	})
}

func TestOnlyOneOfCommitAndCloseSucceeds(t *testing.T) {
	for range 2000 {
		attempt := &mtattempt.Attempt{}
		var committed, closed bool
		var group sync.WaitGroup
		group.Go(func() { committed = attempt.Commit() })
		group.Go(func() { closed = attempt.Close() })
		group.Wait()
		require.NotEqual(t, committed, closed)
	}
}
