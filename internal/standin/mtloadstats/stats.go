package mtloadstats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUs is the upper end of the histogram, one minute in microseconds.
	maxLatencyUs = 60_000_000
	// significantDigits is the precision of the histogram.
	significantDigits = 3
)

// Stats counts the results of calls. It is safe for concurrent use.
type Stats struct {
	mu           sync.Mutex
	addedLatency *hdrhistogram.Histogram
	// Calls is the number of calls of approved teams.
	Calls int `json:"calls"`
	// Answered is the number of calls that an endpoint answered.
	Answered int `json:"answered"`
	// Refused is the number of calls that were refused before they ran, with the outcome notrun.
	Refused int `json:"refused"`
	// Unknown is the number of calls that were not answered and may have run.
	Unknown int `json:"unknown"`
	// WrongAnswers is the number of answers that were truncated or belonged to another call.
	WrongAnswers int `json:"wrong"`
	// UnapprovedCalls is the number of calls of unapproved teams.
	UnapprovedCalls int `json:"strangers"`
	// UnapprovedAnswered is the number of calls of unapproved teams that an endpoint answered.
	UnapprovedAnswered int `json:"let"`
	// Reasons counts the calls that were not answered, by reason.
	Reasons map[string]int `json:"reasons"`
	// NotRunNonces are the nonces of the calls with the outcome notrun.
	NotRunNonces []string `json:"notrun"`
	// The quantiles of the latency that is added to the time at the endpoint, in milliseconds.
	AddedP50Ms  float64 `json:"p50"`
	AddedP99Ms  float64 `json:"p99"`
	AddedP999Ms float64 `json:"p999"`
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		addedLatency: hdrhistogram.New(1, maxLatencyUs, significantDigits),
		Reasons:      map[string]int{},
	}
}

// RecordAnswer counts an answer of an endpoint, whether it is the correct one, and the latency added to the time at the
// endpoint.
func (s *Stats) RecordAnswer(added time.Duration, correct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls++
	s.Answered++
	if !correct {
		s.WrongAnswers++
	}
	// A latency outside the range of the histogram counts as the nearest value in it.
	_ = s.addedLatency.RecordValue(min(maxLatencyUs, max(1, added.Microseconds())))
}

// RecordRefusal counts a call with the outcome notrun and its reason.
func (s *Stats) RecordRefusal(nonce, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls++
	s.Refused++
	s.Reasons[reason]++
	s.NotRunNonces = append(s.NotRunNonces, nonce)
}

// RecordUnknown counts a call that was not answered and may have run, and its reason.
func (s *Stats) RecordUnknown(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls++
	s.Unknown++
	s.Reasons[reason]++
}

// RecordUnapproved counts a call of an unapproved team and whether it was answered.
func (s *Stats) RecordUnapproved(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.UnapprovedCalls++
	if answered {
		s.UnapprovedAnswered++
	}
}

// Close sets the quantiles from the recorded latencies.
func (s *Stats) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	quantile := func(percent float64) float64 {
		return float64(s.addedLatency.ValueAtPercentile(percent)) / 1000
	}
	s.AddedP50Ms = quantile(50)
	s.AddedP99Ms = quantile(99)
	s.AddedP999Ms = quantile(99.9)
}
