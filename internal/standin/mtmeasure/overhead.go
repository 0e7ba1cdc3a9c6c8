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
	// saturationWorkers is the number of callers that send calls back to back during saturationTime.
	saturationWorkers = 64
	saturationTime    = 4 * time.Second
	// sliceCount is the number of time slices of each call path, and sliceTime the length of one slice.
	sliceCount = 5
	sliceTime  = time.Second
	// maxLatencyUs is the upper end of the histograms, in microseconds.
	maxLatencyUs         = 10_000_000
	addedLatencyTargetMs = 1.2
	// clockTicksPerSecond converts the processor times in /proc/PID/stat, which are in clock ticks.
	clockTicksPerSecond = 100
)

// callPath is one path of a call from the caller to the endpoint, and the process on that path.
type callPath struct {
	name    string
	address string
	method  string
	process *exec.Cmd
}

// CallOverhead measures the calls through an entry instance on one core, and compares them with direct calls and calls through
// a naive relay in the same run. The programs are in the given directory.
func CallOverhead(ctx context.Context, programDirectory string) ([]Measurement, error) {
	t, err := newTestbed(ctx, programDirectory)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	client := newClient()
	paths := []callPath{
		{name: "naive relay", address: relayAddress, method: "Read", process: t.relayProcess},
		{name: "idempotent", address: callsAddress, method: "Read", process: t.entryProcess},
		{name: "once", address: callsAddress, method: "Charge", process: t.entryProcess},
	}
	var measurements []Measurement
	lowestRate := math.Inf(1)
	for _, path := range paths {
		rate, cpuUs := measureSaturation(ctx, client, path)
		lowestRate = min(lowestRate, rate)
		measurements = append(measurements,
			Measurement{Name: path.name + ": saturation on one core", Value: rate, Unit: "calls/s"},
			Measurement{Name: path.name + ": processor time of a call", Value: cpuUs, Unit: "µs"})
	}
	for _, rate := range []float64{lowestRate / 2, lowestRate / 10} {
		measurements = append(measurements, compareLatency(ctx, client, paths, rate)...)
	}
	return measurements, nil
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1000,
			DisableCompression:  true,
		},
	}
}

// call sends one call to an address and reads the whole response; any status but 200 is an error.
func call(ctx context.Context, client *http.Client, address, method string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+serviceName+"/"+method,
		bytes.NewReader(requestBody))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+teamToken)
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

// measureSaturation sends calls from many workers back to back. It returns the rate of answered calls per second and
// the processor time of the process per answered call, in microseconds.
func measureSaturation(ctx context.Context, client *http.Client, path callPath) (rate, cpuUs float64) {
	var answered atomic.Int64
	var group sync.WaitGroup
	cpuBefore := cpuTime(path.process)
	started := time.Now()
	for range saturationWorkers {
		group.Go(func() {
			for time.Since(started) < saturationTime {
				if call(ctx, client, path.address, path.method) == nil {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	count := float64(answered.Load())
	return count / time.Since(started).Seconds(), (cpuTime(path.process) - cpuBefore).Seconds() * 1e6 / count
}

// cpuTime returns the user and system processor time of a process, or 0 if it can't be read.
func cpuTime(process *exec.Cmd) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// compareLatency sends calls at a rate through the paths in short alternating time slices, together with direct calls
// in each slice. It returns the differences of the latency quantiles.
func compareLatency(ctx context.Context, client *http.Client, paths []callPath, rate float64) []Measurement {
	direct := make([]*hdrhistogram.Histogram, len(paths))
	throughPath := make([]*hdrhistogram.Histogram, len(paths))
	for i := range paths {
		direct[i] = hdrhistogram.New(1, maxLatencyUs, 3)
		throughPath[i] = hdrhistogram.New(1, maxLatencyUs, 3)
	}
	for range sliceCount {
		for i, path := range paths {
			runSlice(ctx, client, path, rate, direct[i], throughPath[i])
		}
	}
	var measurements []Measurement
	for i, path := range paths {
		for _, percentile := range []float64{50, 99, 99.9} {
			measurement := Measurement{
				Name: fmt.Sprintf("%s: added at %.0f calls/s, p%g", path.name, rate, percentile),
				Value: float64(throughPath[i].ValueAtPercentile(percentile)-
					direct[i].ValueAtPercentile(percentile)) / 1000,
				Unit: "ms",
			}
			if percentile == 99 && path.process != nil {
				measurement.Target = addedLatencyTargetMs
			}
			measurements = append(measurements, measurement)
		}
	}
	return measurements
}

// runSlice sends calls for one time slice and draws for each call whether it goes directly or through the path. Each of
// the two gets the given rate in calls per second on average.
func runSlice(
	ctx context.Context, client *http.Client, path callPath, rate float64, direct, throughPath *hdrhistogram.Histogram,
) {
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for nextCall := started; time.Since(started) < sliceTime; {
		// The total rate is twice the given one, because half of the calls go directly.
		nextCall = nextCall.Add(time.Duration(rand.ExpFloat64() / (2 * rate) * float64(time.Second)))
		time.Sleep(time.Until(nextCall))
		address, histogram := path.address, throughPath
		if rand.IntN(2) == 0 {
			address, histogram = endpointAddress, direct
		}
		group.Go(func() {
			callStarted := time.Now()
			if call(ctx, client, address, path.method) != nil {
				return
			}
			latencyUs := time.Since(callStarted).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(min(maxLatencyUs, max(1, latencyUs)))
		})
	}
	group.Wait()
}
