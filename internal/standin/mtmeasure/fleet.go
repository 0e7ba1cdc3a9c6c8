package mtmeasure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtrules"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/standin/mtscrape"
	"github.com/mangotack/mangotack/internal/standin/mtstandin"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	fleetPlatformAddress = "127.0.1.1:7600"
	// fleetWarmupTime is the time between the last publication and the measurement.
	fleetWarmupTime            = 8 * time.Second
	fleetMeasurementTime       = 10 * time.Second
	cpuTargetPercent           = 3.9
	memoryTargetMB             = 256
	gossipTargetBytesPerSecond = 10_000
)

// FleetOverhead measures the processor time, memory and gossip traffic of idle entry instances for several numbers of
// instances, services and endpoints. The programs are in the given directory.
func FleetOverhead(ctx context.Context, programDirectory string) ([]Measurement, error) {
	var measurements []Measurement
	for _, size := range []struct{ instances, services, endpoints int }{
		{6, 4, 36}, {24, 4, 36}, {24, 24, 840}, {48, 24, 840},
	} {
		measured, err := measureFleet(ctx, programDirectory, size.instances, size.services, size.endpoints)
		if err != nil {
			return nil, err
		}
		measurements = append(measurements, measured...)
	}
	return measurements, nil
}

// measureFleet runs the stand-in and the entry instances, publishes the services and measures the instances.
func measureFleet(
	parent context.Context, programDirectory string, instances, services, endpoints int,
) ([]Measurement, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	settingsDirectory, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(settingsDirectory)
	go func() {
		_ = mtstandin.NewStandin(fleetStandinSettings(services, endpoints)).Run(ctx)
	}()
	var processes []*exec.Cmd
	defer func() {
		cancel()
		for _, process := range processes {
			_ = process.Wait()
		}
	}()
	for i := range instances {
		process, err := startInstance(ctx, programDirectory, settingsDirectory, i)
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	if err := publishServices(ctx, services); err != nil {
		return nil, err
	}
	time.Sleep(fleetWarmupTime)
	return measureInstances(processes,
		fmt.Sprintf("%d instances, %d services, %d endpoints", instances, services, endpoints)), nil
}

func fleetStandinSettings(services, endpoints int) *settingsv1.Standin {
	settings := &settingsv1.Standin{
		Platform:  fleetPlatformAddress,
		Centres:   []string{"a", "b", "c"},
		Retention: durationpb.New(time.Hour),
	}
	for i := range services {
		settings.Pools = append(settings.Pools, &settingsv1.Pool{
			Service: fleetServiceName(i),
			Name:    fmt.Sprintf("pool%02d", i),
			Port:    uint32(7610 + i),
			Servers: uint32(endpoints / services),
			Slots:   2,
			Work:    durationpb.New(time.Millisecond),
			Steady:  true,
		})
	}
	return settings
}

func fleetServiceName(index int) string {
	return fmt.Sprintf("measure.v1.Service%02d", index)
}

// instanceAddress returns the address of the entry instance with an index. The instances alternate between three data
// centres.
func instanceAddress(index, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 1+index%3, 100+index, port)
}

// startInstance starts the entry instance with an index on one core and writes its settings to a directory.
func startInstance(ctx context.Context, programDirectory, settingsDirectory string, index int) (*exec.Cmd, error) {
	data, err := protojson.Marshal(&settingsv1.Settings{
		Instance:  fmt.Sprintf("entry-%02d", index),
		Centre:    []string{"a", "b", "c"}[index%3],
		Calls:     instanceAddress(index, 7700),
		Control:   instanceAddress(index, 7701),
		Seeds:     []string{instanceAddress(0, 7701), instanceAddress(1, 7701), instanceAddress(2, 7701)},
		Log:       fleetPlatformAddress,
		List:      fleetPlatformAddress,
		Peer:      "measure-peer-secret",
		Operators: []string{mtrules.HashToken(operatorToken)},
		Level:     "error",
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(settingsDirectory, fmt.Sprintf("entry-%02d.json", index))
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	process := singleCoreCommand(ctx, filepath.Join(programDirectory, "mangotack"), "serve", "--settings", file)
	return process, process.Start()
}

func publishServices(ctx context.Context, services int) error {
	var errs []error
	for i := range services {
		errs = append(errs, publishRecord(ctx, instanceAddress(0, 7701), &recordv1.Record{
			Body: &recordv1.Record_Service{Service: &recordv1.Service{
				Name:        fleetServiceName(i),
				Protocol:    "http1",
				Slots:       2,
				Connections: 200,
				Timeout:     durationpb.New(time.Second),
			}},
		}))
	}
	return errors.Join(errs...)
}

// measureInstances returns the means over the processes of all instances during fleetMeasurementTime.
func measureInstances(processes []*exec.Cmd, name string) []Measurement {
	cpuBefore := make([]time.Duration, len(processes))
	gossipBefore := make([]float64, len(processes))
	for i, process := range processes {
		cpuBefore[i] = cpuTime(process)
		gossipBefore[i] = mtscrape.MetricValue(instanceAddress(i, 7701), "mangotack_gossip_bytes_total")
	}
	time.Sleep(fleetMeasurementTime)
	cpuSeconds, memoryMB, gossipBytes := 0.0, 0.0, 0.0
	for i, process := range processes {
		cpuSeconds += (cpuTime(process) - cpuBefore[i]).Seconds()
		memoryMB += residentMB(process)
		gossipBytes += mtscrape.MetricValue(instanceAddress(i, 7701), "mangotack_gossip_bytes_total") - gossipBefore[i]
	}
	count := float64(len(processes))
	return []Measurement{
		{
			Name:   name + ": processor",
			Value:  100 * cpuSeconds / count / fleetMeasurementTime.Seconds(),
			Unit:   "% of a core",
			Target: cpuTargetPercent,
		},
		{
			Name:   name + ": memory",
			Value:  memoryMB / count,
			Unit:   "MB",
			Target: memoryTargetMB,
		},
		{
			Name:   name + ": gossip, sent and received",
			Value:  gossipBytes / count / fleetMeasurementTime.Seconds(),
			Unit:   "bytes/s",
			Target: gossipTargetBytesPerSecond,
		},
	}
}

// residentMB returns the resident memory of a process in MB, or 0 if it can't be read.
func residentMB(process *exec.Cmd) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, _ := strconv.ParseFloat(number, 64)
	return kilobytes / 1000
}
