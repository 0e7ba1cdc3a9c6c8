package mtmeasure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtrules"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/standin/mtstandin"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	platformAddress = "127.0.1.1:7500"
	serviceName     = "measure.v1.EchoService"
	endpointAddress = "127.0.1.10:7510"
	callsAddress    = "127.0.1.101:7520"
	controlAddress  = "127.0.1.101:7530"
	relayAddress    = "127.0.1.102:7540"
	teamToken       = "measure-team-token"
	ownerToken      = "measure-owner-token"
	operatorToken   = "measure-operator-token"
	startTimeout    = 20 * time.Second
)

// testbed is the stand-in for the platform and one endpoint in this process, and an entry instance and a naive relay in
// separate processes.
type testbed struct {
	cancel context.CancelFunc
	// entryProcess and relayProcess run the entry instance and the naive relay, each on one core.
	entryProcess      *exec.Cmd
	relayProcess      *exec.Cmd
	settingsDirectory string
}

// newTestbed starts the programs in a directory, publishes the service and a contract, and waits until a call is
// answered.
func newTestbed(ctx context.Context, programDirectory string) (*testbed, error) {
	runCtx, cancel := context.WithCancel(ctx)
	standin := mtstandin.NewStandin(&settingsv1.Standin{
		Platform:  platformAddress,
		Centres:   []string{"a"},
		Retention: durationpb.New(time.Hour),
		Pools: []*settingsv1.Pool{{
			Service: serviceName,
			Name:    "echo",
			Port:    7510,
			Servers: 1,
			Slots:   1000,
			Work:    durationpb.New(0),
			Steady:  true,
		}},
	})
	go func() {
		_ = standin.Run(runCtx)
	}()
	t := &testbed{
		cancel: cancel,
	}
	if err := t.start(runCtx, programDirectory); err != nil {
		t.stop()
		return nil, err
	}
	if err := t.publish(runCtx); err != nil {
		t.stop()
		return nil, err
	}
	return t, nil
}

// start writes the settings of the entry instance and starts it and the relay.
func (t *testbed) start(ctx context.Context, programDirectory string) error {
	data, err := protojson.Marshal(&settingsv1.Settings{
		Instance:  "entry-1",
		Centre:    "a",
		Calls:     callsAddress,
		Control:   controlAddress,
		Log:       platformAddress,
		List:      platformAddress,
		Peer:      "measure-peer-secret",
		Operators: []string{mtrules.HashToken(operatorToken)},
		Keys:      4_000_000,
		Level:     "error",
	})
	if err != nil {
		return err
	}
	t.settingsDirectory, err = os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	file := filepath.Join(t.settingsDirectory, "entry.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	t.entryProcess = singleCoreCommand(ctx, filepath.Join(programDirectory, "mangotack"), "serve", "--settings", file)
	t.relayProcess = singleCoreCommand(ctx, filepath.Join(programDirectory, "mangotack-standin"), "relay",
		"--listen", relayAddress, "--endpoint", endpointAddress)
	return errors.Join(t.entryProcess.Start(), t.relayProcess.Start())
}

// singleCoreCommand returns a command that executes Go code on one core at a time. Its standard error is that of this
// process.
func singleCoreCommand(ctx context.Context, program string, arguments ...string) *exec.Cmd {
	process := exec.CommandContext(ctx, program, arguments...)
	process.Env = append(os.Environ(), "GOMAXPROCS=1")
	process.Stderr = os.Stderr
	return process
}

// stop stops the stand-in, kills both processes and removes the settings.
func (t *testbed) stop() {
	t.cancel()
	for _, process := range []*exec.Cmd{t.entryProcess, t.relayProcess} {
		if process != nil && process.Process != nil {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	}
	_ = os.RemoveAll(t.settingsDirectory)
}

// publish publishes the service, a contract and its approval, and waits until a call is answered.
func (t *testbed) publish(ctx context.Context) error {
	records := []*recordv1.Record{
		{Body: &recordv1.Record_Service{Service: &recordv1.Service{
			Name:        serviceName,
			Owners:      []string{mtrules.HashToken(ownerToken)},
			Protocol:    "http1",
			Slots:       1000,
			Connections: 1000,
			Idempotent:  []string{"Read"},
			Timeout:     durationpb.New(5 * time.Second),
		}}},
		{Body: &recordv1.Record_Contract{Contract: &recordv1.Contract{
			Customer: "acme",
			Teams: []*recordv1.Team{{
				Name:     "hosts",
				Tokens:   []string{mtrules.HashToken(teamToken)},
				Services: []string{serviceName},
				Limit: &recordv1.Limit{
					Rate:        1e6,
					Concurrency: 1e6,
				},
			}},
		}}},
		{Body: &recordv1.Record_Approval{Approval: &recordv1.Approval{
			Service:  serviceName,
			Customer: "acme",
			Team:     "hosts",
		}}},
	}
	for _, record := range records {
		if err := publishRecord(ctx, controlAddress, record); err != nil {
			return err
		}
	}
	return waitUntilServing(ctx)
}

// publishRecord publishes a record through the control address of an instance, and retries while the instance starts.
func publishRecord(ctx context.Context, address string, record *recordv1.Record) error {
	token := operatorToken
	if record.GetApproval() != nil {
		token = ownerToken
	}
	client := mtoperator.NewClient(address, token)
	client.PrepareRecord(record, nil)
	lastErr := errors.New("no attempt was made")
	for started := time.Now(); time.Since(started) < startTimeout; time.Sleep(100 * time.Millisecond) {
		if _, lastErr = client.Publish(ctx, record); lastErr == nil {
			return nil
		}
	}
	return fmt.Errorf("publish: %w", lastErr)
}

// waitUntilServing sends calls until the entry instance answers one, and fails after startTimeout.
func waitUntilServing(ctx context.Context) error {
	for started := time.Now(); time.Since(started) < startTimeout; time.Sleep(100 * time.Millisecond) {
		if err := call(ctx, http.DefaultClient, callsAddress, "Read"); err == nil {
			return nil
		}
	}
	return errors.New("entry instance answered no call within the start time-out")
}

var requestBody = bytes.Repeat([]byte{'x'}, 200)
