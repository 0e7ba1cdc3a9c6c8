package mttally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest = 60_000_000
	digits  = 3
)

// Tally counts the results of calls; it is safe for use by many goroutines.
type Tally struct {
	mu    sync.Mutex
	added *hdrhistogram.Histogram
	// Calls is the number of calls made by approved teams.
	Calls int `json:"calls"`
	// Answered is the number of calls that an endpoint answered.
	Answered int `json:"answered"`
	// Refused is the number of calls that were told as not run.
	Refused int `json:"refused"`
	// Unknown is the number of calls that were told as possibly run.
	Unknown int `json:"unknown"`
	// Wrong is the number of answers that were not the whole answer to the caller's own call.
	Wrong int `json:"wrong"`
	// Strangers is the number of calls of unapproved teams, and Let the number of those that were answered.
	Strangers int `json:"strangers"`
	Let       int `json:"let"`
	// Reasons counts the calls that were not answered by reason.
	Reasons map[string]int `json:"reasons"`
	// NotRun are the nonces of the calls that were told as not run.
	NotRun []string `json:"notrun"`
	// The quantiles of the latency added to the endpoint's own time, in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		added:   hdrhistogram.New(1, longest, digits),
		Reasons: map[string]int{},
	}
}

// Answer counts an endpoint's answer and the latency added to it.
func (t *Tally) Answer(added time.Duration, right bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Calls++
	t.Answered++
	if !right {
		t.Wrong++
	}
	// A latency beyond the histogram's range is counted at its end.
	_ = t.added.RecordValue(min(longest, max(1, added.Microseconds())))
}

// Refuse counts a call that was told as not run, and why.
func (t *Tally) Refuse(nonce, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Calls++
	t.Refused++
	t.Reasons[reason]++
	t.NotRun = append(t.NotRun, nonce)
}

// Lose counts a call that was told as possibly run, and why.
func (t *Tally) Lose(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Calls++
	t.Unknown++
	t.Reasons[reason]++
}

// Strange counts a call of an unapproved team and whether it was answered.
func (t *Tally) Strange(let bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Strangers++
	if let {
		t.Let++
	}
}

// Close fills in the quantiles.
func (t *Tally) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	quantile := func(percent float64) float64 {
		return float64(t.added.ValueAtPercentile(percent)) / 1000
	}
	t.P50 = quantile(50)
	t.P99 = quantile(99)
	t.P999 = quantile(99.9)
}
