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
	fleetPlatform = "127.0.1.1:7600"
	fleetSettle   = 8 * time.Second
	fleetWindow   = 10 * time.Second
	coreTarget    = 3.9
	memoryTarget  = 256
	bytesTarget   = 10_000
)

// Fleet measures what an idle entry instance spends on control, by the number of instances, services and endpoints.
func Fleet(ctx context.Context, programs string) ([]Figure, error) {
	var figures []Figure
	for _, size := range []struct{ instances, services, endpoints int }{{6, 4, 36}, {24, 4, 36}, {24, 24, 840}, {48, 24, 840}} {
		found, err := measureFleet(ctx, programs, size.instances, size.services, size.endpoints)
		if err != nil {
			return nil, err
		}
		figures = append(figures, found...)
	}
	return figures, nil
}

func measureFleet(parent context.Context, programs string, instances, services, endpoints int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	files, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(files)
	go func() {
		_ = mtstandin.NewStandin(fleetStandin(services, endpoints)).Run(ctx)
	}()
	var processes []*exec.Cmd
	defer func() {
		cancel()
		for _, process := range processes {
			_ = process.Wait()
		}
	}()
	for i := range instances {
		process, err := startMember(ctx, programs, files, i)
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	if err := publishServices(ctx, services); err != nil {
		return nil, err
	}
	time.Sleep(fleetSettle)
	return observe(processes, fmt.Sprintf("%d instances, %d services, %d endpoints", instances, services, endpoints)), nil
}

func fleetStandin(services, endpoints int) *settingsv1.Standin {
	settings := &settingsv1.Standin{
		Platform:  fleetPlatform,
		Centres:   []string{"a", "b", "c"},
		Retention: durationpb.New(time.Hour),
	}
	for i := range services {
		settings.Pools = append(settings.Pools, &settingsv1.Pool{
			Service: fleetService(i),
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

func fleetService(i int) string {
	return fmt.Sprintf("measure.v1.Service%02d", i)
}

func memberAddress(i, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 1+i%3, 100+i, port)
}

func startMember(ctx context.Context, programs, files string, i int) (*exec.Cmd, error) {
	text, err := protojson.Marshal(&settingsv1.Settings{
		Instance:  fmt.Sprintf("entry-%02d", i),
		Centre:    []string{"a", "b", "c"}[i%3],
		Calls:     memberAddress(i, 7700),
		Control:   memberAddress(i, 7701),
		Seeds:     []string{memberAddress(0, 7701), memberAddress(1, 7701), memberAddress(2, 7701)},
		Log:       fleetPlatform,
		List:      fleetPlatform,
		Peer:      "measure-peer-secret",
		Operators: []string{mtrules.HashToken(operator)},
		Level:     "error",
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(files, fmt.Sprintf("entry-%02d.json", i))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	process := oneCore(ctx, filepath.Join(programs, "mangotack"), "serve", "--settings", file)
	return process, process.Start()
}

func publishServices(ctx context.Context, services int) error {
	var failures []error
	for i := range services {
		failures = append(failures, publishAt(ctx, memberAddress(0, 7701), &recordv1.Record{
			Body: &recordv1.Record_Service{Service: &recordv1.Service{
				Name:        fleetService(i),
				Protocol:    "http1",
				Slots:       2,
				Connections: 200,
				Timeout:     durationpb.New(time.Second),
			}},
		}))
	}
	return errors.Join(failures...)
}

// observe returns the means over all processes.
func observe(processes []*exec.Cmd, name string) []Figure {
	before := make([]time.Duration, len(processes))
	bytesBefore := make([]float64, len(processes))
	for i, process := range processes {
		before[i] = processorTime(process)
		bytesBefore[i] = mtscrape.Value(memberAddress(i, 7701), "mangotack_gossip_bytes_total")
	}
	time.Sleep(fleetWindow)
	cpu, memory, sent := 0.0, 0.0, 0.0
	for i, process := range processes {
		cpu += (processorTime(process) - before[i]).Seconds()
		memory += resident(process)
		sent += mtscrape.Value(memberAddress(i, 7701), "mangotack_gossip_bytes_total") - bytesBefore[i]
	}
	count := float64(len(processes))
	return []Figure{
		{Name: name + ": processor", Value: 100 * cpu / count / fleetWindow.Seconds(), Unit: "% of a core", Target: coreTarget},
		{Name: name + ": memory", Value: memory / count, Unit: "MB", Target: memoryTarget},
		{Name: name + ": gossip, sent and received", Value: sent / count / fleetWindow.Seconds(), Unit: "bytes/s", Target: bytesTarget},
	}
}

// resident returns the resident memory of a process in MB.
func resident(process *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, _ := strconv.ParseFloat(number, 64)
	return kilobytes / 1000
}
