package mtinvariant

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const timeout = 3 * time.Second

func completeResult(status int) CallResult {
	return CallResult{
		ID:            "1",
		CallerTimeout: timeout,
		Status:        status,
		Complete:      true,
		Correct:       true,
	}
}

// Each case either violates one invariant or is the nearest one that violates none.
func TestViolationsAreReported(t *testing.T) {
	requestRuns := func(times int) func(*Checker) {
		return func(c *Checker) {
			for range times {
				c.RequestArrived("1", 0)
				c.RequestRan("1", "e", 0)
			}
		}
	}
	requestEnds := func(change func(*CallResult), status int) func(*Checker) {
		return func(c *Checker) {
			result := completeResult(status)
			change(&result)
			c.RequestEnded(result)
		}
	}
	unchanged := func(*CallResult) {}
	for name, test := range map[string]struct {
		idempotent bool
		steps      []func(*Checker)
		violations []Invariant
	}{
		"one run": {
			steps: []func(*Checker){requestRuns(1), requestEnds(unchanged, http.StatusOK)},
		},
		"two runs": {
			steps:      []func(*Checker){requestRuns(2)},
			violations: []Invariant{AtMostOnce},
		},
		"two runs, idempotent": {
			idempotent: true,
			steps:      []func(*Checker){requestRuns(2)},
		},
		"refused": {
			steps: []func(*Checker){requestEnds(unchanged, http.StatusServiceUnavailable)},
		},
		"refused, ran": {
			steps:      []func(*Checker){requestRuns(1), requestEnds(unchanged, http.StatusServiceUnavailable)},
			violations: []Invariant{RefusedNotRun},
		},
		"refused, runs later": {
			steps:      []func(*Checker){requestEnds(unchanged, http.StatusTooManyRequests), requestRuns(1)},
			violations: []Invariant{RefusedNotRun},
		},
		"unknown, ran": {
			steps: []func(*Checker){requestRuns(1), requestEnds(unchanged, http.StatusBadGateway)},
		},
		"wrong answer": {
			steps:      []func(*Checker){requestEnds(func(r *CallResult) { r.Correct = false }, http.StatusOK)},
			violations: []Invariant{Unaltered},
		},
		"incomplete": {
			steps:      []func(*Checker){requestEnds(func(r *CallResult) { r.Complete = false }, 0)},
			violations: []Invariant{Answered},
		},
		"incomplete, instance fault": {
			steps: []func(*Checker){
				requestEnds(func(r *CallResult) { r.Complete, r.InstanceFault = false, true }, 0),
			},
		},
		"incomplete while the instance stops": {
			steps: []func(*Checker){
				requestEnds(func(r *CallResult) { r.Complete, r.InstanceStopping = false, true }, 0),
			},
		},
		"incomplete while the instance stops, ran": {
			steps: []func(*Checker){
				requestRuns(1),
				requestEnds(func(r *CallResult) { r.Complete, r.InstanceStopping = false, true }, 0),
			},
			violations: []Invariant{Answered},
		},
		"incomplete, endpoint fault": {
			steps: []func(*Checker){
				requestEnds(func(r *CallResult) { r.Complete, r.EndpointFault = false, true }, http.StatusOK),
			},
		},
		"late": {
			steps: []func(*Checker){
				requestEnds(func(r *CallResult) { r.EndedAt = timeout + 2*timeoutTolerance },
					http.StatusGatewayTimeout),
			},
			violations: []Invariant{WithinTimeout},
		},
	} {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker(false)
			checker.RequestSent("1", "pay", test.idempotent, 0, 0)
			for _, step := range test.steps {
				step(checker)
			}
			var reported []Invariant
			for _, violation := range checker.Violations() {
				reported = append(reported, violation.Invariant)
			}
			require.Equal(t, test.violations, reported)
		})
	}
}

func TestRetryBudgetIsCheckedInWindows(t *testing.T) {
	budget := RetryBudget{
		Ratio:       0.2,
		BaseRetries: 3,
		Window:      10 * time.Second,
	}
	violationsWith := func(retries int) []Violation {
		checker := NewChecker(false)
		for n := range 10 {
			checker.RequestSent(string(rune('a'+n)), "menu", true, 0, time.Second)
		}
		checker.RequestArrived("a", time.Second)
		for range retries {
			checker.RequestArrived("a", time.Second)
		}
		checker.CheckRetries(budget, 20*time.Second)
		return checker.Violations()
	}
	require.Empty(t, violationsWith(5))
	require.Len(t, violationsWith(6), 1)
}

func TestSkippedTimingInvariantsAreNotReported(t *testing.T) {
	checker := NewChecker(true)
	checker.Report(0, ConfigApplied, "late")
	require.Empty(t, checker.Violations())
	checker.Report(0, AtMostOnce, "twice")
	require.Len(t, checker.Violations(), 1)
}
