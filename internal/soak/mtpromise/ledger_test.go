package mtpromise

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const wait = 3 * time.Second

func answered(status int) Call {
	return Call{
		ID:       "1",
		Wait:     wait,
		Status:   status,
		Complete: true,
		Right:    true,
	}
}

// Each promise is broken once, and kept in a like case.
func TestBrokenPromisesAreFound(t *testing.T) {
	runs := func(times int) func(*Ledger) {
		return func(l *Ledger) {
			for range times {
				l.Arrived("1", 0)
				l.Ran("1", "e", 0)
			}
		}
	}
	finished := func(change func(*Call), status int) func(*Ledger) {
		return func(l *Ledger) {
			call := answered(status)
			change(&call)
			l.Finished(call)
		}
	}
	same := func(*Call) {}
	for name, play := range map[string]struct {
		idempotent bool
		steps      []func(*Ledger)
		broken     []Promise
	}{
		"one run":                  {steps: []func(*Ledger){runs(1), finished(same, http.StatusOK)}},
		"two runs":                 {steps: []func(*Ledger){runs(2)}, broken: []Promise{Once}},
		"two runs, idempotent":     {idempotent: true, steps: []func(*Ledger){runs(2)}},
		"refused":                  {steps: []func(*Ledger){finished(same, http.StatusServiceUnavailable)}},
		"refused, ran":             {steps: []func(*Ledger){runs(1), finished(same, http.StatusServiceUnavailable)}, broken: []Promise{NotRun}},
		"refused, runs later":      {steps: []func(*Ledger){finished(same, http.StatusTooManyRequests), runs(1)}, broken: []Promise{NotRun}},
		"unknown, ran":             {steps: []func(*Ledger){runs(1), finished(same, http.StatusBadGateway)}},
		"wrong answer":             {steps: []func(*Ledger){finished(func(c *Call) { c.Right = false }, http.StatusOK)}, broken: []Promise{Whole}},
		"cut":                      {steps: []func(*Ledger){finished(func(c *Call) { c.Complete = false }, 0)}, broken: []Promise{Answered}},
		"cut, excused":             {steps: []func(*Ledger){finished(func(c *Call) { c.Complete, c.Excused = false, true }, 0)}},
		"cut as it closed":         {steps: []func(*Ledger){finished(func(c *Call) { c.Complete, c.Gone = false, true }, 0)}},
		"cut as it closed, ran":    {steps: []func(*Ledger){runs(1), finished(func(c *Call) { c.Complete, c.Gone = false, true }, 0)}, broken: []Promise{Answered}},
		"midway, endpoint is lost": {steps: []func(*Ledger){finished(func(c *Call) { c.Complete, c.Spoilt = false, true }, http.StatusOK)}},
		"late":                     {steps: []func(*Ledger){finished(func(c *Call) { c.Ended = wait + 2*answerSlack }, http.StatusGatewayTimeout)}, broken: []Promise{InTime}},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(false)
			ledger.Asked("1", "pay", play.idempotent, 0, 0)
			for _, step := range play.steps {
				step(ledger)
			}
			var found []Promise
			for _, broken := range ledger.Broken() {
				found = append(found, broken.Promise)
			}
			require.Equal(t, play.broken, found)
		})
	}
}

func TestRepeatsAreCountedInWindows(t *testing.T) {
	budget := Budget{
		Part:   0.2,
		Slack:  3,
		Window: 10 * time.Second,
	}
	play := func(repeats int) []Broken {
		ledger := NewLedger(false)
		for n := range 10 {
			ledger.Asked(string(rune('a'+n)), "menu", true, 0, time.Second)
		}
		ledger.Arrived("a", time.Second)
		for range repeats {
			ledger.Arrived("a", time.Second)
		}
		ledger.CheckRepeats(budget, 20*time.Second)
		return ledger.Broken()
	}
	require.Empty(t, play(5))
	require.Len(t, play(6), 1)
}

func TestUntimedRunsLeaveOutWhatNeedsProcessorTime(t *testing.T) {
	ledger := NewLedger(true)
	ledger.Break(0, InForce, "late")
	require.Empty(t, ledger.Broken())
	ledger.Break(0, Once, "twice")
	require.Len(t, ledger.Broken(), 1)
}
