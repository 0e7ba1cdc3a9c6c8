package mtmeasure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	closedWorkers = 64
	closedTime    = 4 * time.Second
	// slices is the number of turns of each way, and sliceTime how long one lasts.
	slices        = 5
	sliceTime     = time.Second
	longestUs     = 10_000_000
	addedTargetMs = 1.2
	ticksPerSec   = 100
)

// way is one way from the callers to the endpoint.
type way struct {
	name    string
	address string
	method  string
	process *exec.Cmd
}

// Path measures the way through an entry instance on one core beside the direct way and a naive relay, in one run.
func Path(ctx context.Context, programs string) ([]Figure, error) {
	s, err := newSite(ctx, programs)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	client := newClient()
	ways := []way{
		{name: "naive relay", address: relayed, method: "Read", process: s.relay},
		{name: "idempotent", address: calls, method: "Read", process: s.entry},
		{name: "once", address: calls, method: "Charge", process: s.entry},
	}
	var figures []Figure
	least := math.Inf(1)
	for _, one := range ways {
		rate, cpu := saturate(ctx, client, one)
		least = min(least, rate)
		figures = append(figures,
			Figure{Name: one.name + ": saturation on one core", Value: rate, Unit: "calls/s"},
			Figure{Name: one.name + ": processor time of a call", Value: cpu, Unit: "µs"})
	}
	for _, rate := range []float64{least / 2, least / 10} {
		figures = append(figures, beside(ctx, client, ways, rate)...)
	}
	return figures, nil
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1000,
			DisableCompression:  true,
		},
	}
}

func call(ctx context.Context, client *http.Client, address, method string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+service+"/"+method, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// saturate calls from many workers at once and returns the rate and the processor time that the process spent on a call.
func saturate(ctx context.Context, client *http.Client, one way) (rate, cpu float64) {
	var done atomic.Int64
	var group sync.WaitGroup
	before := processorTime(one.process)
	started := time.Now()
	for range closedWorkers {
		group.Go(func() {
			for time.Since(started) < closedTime {
				if call(ctx, client, one.address, one.method) == nil {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	count := float64(done.Load())
	return count / time.Since(started).Seconds(), (processorTime(one.process) - before).Seconds() * 1e6 / count
}

// processorTime returns the processor time that a process has spent.
func processorTime(process *exec.Cmd) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSec
}

// beside sends calls at a rate through each way in turn, in slices of time that follow each other closely, each beside
// the direct way, and compares the quantiles.
func beside(ctx context.Context, client *http.Client, ways []way, rate float64) []Figure {
	direct := make([]*hdrhistogram.Histogram, len(ways))
	through := make([]*hdrhistogram.Histogram, len(ways))
	for i := range ways {
		direct[i] = hdrhistogram.New(1, longestUs, 3)
		through[i] = hdrhistogram.New(1, longestUs, 3)
	}
	for range slices {
		for i, one := range ways {
			slice(ctx, client, one, rate, direct[i], through[i])
		}
	}
	var figures []Figure
	for i, one := range ways {
		for _, percent := range []float64{50, 99, 99.9} {
			figure := Figure{
				Name:  fmt.Sprintf("%s: added at %.0f calls/s, p%g", one.name, rate, percent),
				Value: float64(through[i].ValueAtPercentile(percent)-direct[i].ValueAtPercentile(percent)) / 1000,
				Unit:  "ms",
			}
			if percent == 99 && one.process != nil {
				figure.Target = addedTargetMs
			}
			figures = append(figures, figure)
		}
	}
	return figures
}

// slice draws for each call whether it goes directly or through the way.
func slice(ctx context.Context, client *http.Client, one way, rate float64, direct, through *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for next := started; time.Since(started) < sliceTime; {
		// Twice the rate is drawn, because half of the calls go directly.
		next = next.Add(time.Duration(rand.ExpFloat64() / (2 * rate) * float64(time.Second)))
		time.Sleep(time.Until(next))
		address, into := one.address, through
		if rand.IntN(2) == 0 {
			address, into = endpoint, direct
		}
		group.Go(func() {
			begun := time.Now()
			if call(ctx, client, address, one.method) != nil {
				return
			}
			took := time.Since(begun).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = into.RecordValue(min(longestUs, max(1, took)))
		})
	}
	group.Wait()
}
