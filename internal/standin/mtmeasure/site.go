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
	platform   = "127.0.1.1:7500"
	service    = "measure.v1.EchoService"
	endpoint   = "127.0.1.10:7510"
	calls      = "127.0.1.101:7520"
	control    = "127.0.1.101:7530"
	relayed    = "127.0.1.102:7540"
	token      = "measure-team-token"
	owner      = "measure-owner-token"
	operator   = "measure-operator-token"
	startLimit = 20 * time.Second
)

// site is a platform with one endpoint in this process, and an entry instance and a naive relay in processes of their own.
type site struct {
	cancel context.CancelFunc
	// entry is the entry instance and relay the naive relay, each on one core.
	entry *exec.Cmd
	relay *exec.Cmd
	files string
}

// newSite runs the programs in a directory and publishes a contract.
func newSite(ctx context.Context, programs string) (*site, error) {
	running, cancel := context.WithCancel(ctx)
	standin := mtstandin.NewStandin(&settingsv1.Standin{
		Platform:  platform,
		Centres:   []string{"a"},
		Retention: durationpb.New(time.Hour),
		Pools: []*settingsv1.Pool{{
			Service: service,
			Name:    "echo",
			Port:    7510,
			Servers: 1,
			Slots:   1000,
			Work:    durationpb.New(0),
			Steady:  true,
		}},
	})
	go func() {
		_ = standin.Run(running)
	}()
	s := &site{
		cancel: cancel,
	}
	if err := s.start(running, programs); err != nil {
		s.stop()
		return nil, err
	}
	if err := s.publish(running); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *site) start(ctx context.Context, programs string) error {
	text, err := protojson.Marshal(&settingsv1.Settings{
		Instance:  "entry-1",
		Centre:    "a",
		Calls:     calls,
		Control:   control,
		Log:       platform,
		List:      platform,
		Peer:      "measure-peer-secret",
		Operators: []string{mtrules.HashToken(operator)},
		Keys:      4_000_000,
		Level:     "error",
	})
	if err != nil {
		return err
	}
	s.files, err = os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	file := filepath.Join(s.files, "entry.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	s.entry = oneCore(ctx, filepath.Join(programs, "mangotack"), "serve", "--settings", file)
	s.relay = oneCore(ctx, filepath.Join(programs, "mangotack-standin"), "relay", "--listen", relayed, "--endpoint", endpoint)
	return errors.Join(s.entry.Start(), s.relay.Start())
}

func oneCore(ctx context.Context, program string, arguments ...string) *exec.Cmd {
	process := exec.CommandContext(ctx, program, arguments...)
	process.Env = append(os.Environ(), "GOMAXPROCS=1")
	process.Stderr = os.Stderr
	return process
}

func (s *site) stop() {
	s.cancel()
	for _, process := range []*exec.Cmd{s.entry, s.relay} {
		if process != nil && process.Process != nil {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	}
	_ = os.RemoveAll(s.files)
}

func (s *site) publish(ctx context.Context) error {
	records := []*recordv1.Record{
		{Body: &recordv1.Record_Service{Service: &recordv1.Service{
			Name:        service,
			Owners:      []string{mtrules.HashToken(owner)},
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
				Tokens:   []string{mtrules.HashToken(token)},
				Services: []string{service},
				Limit: &recordv1.Limit{
					Rate:        1e6,
					Concurrency: 1e6,
				},
			}},
		}}},
		{Body: &recordv1.Record_Approval{Approval: &recordv1.Approval{
			Service:  service,
			Customer: "acme",
			Team:     "hosts",
		}}},
	}
	for _, record := range records {
		if err := publishAt(ctx, control, record); err != nil {
			return err
		}
	}
	return waitForCall(ctx)
}

// publishAt publishes a record through the control address of an instance that may still be starting.
func publishAt(ctx context.Context, control string, record *recordv1.Record) error {
	secret := operator
	if record.GetApproval() != nil {
		secret = owner
	}
	client := mtoperator.NewClient(control, secret)
	client.Complete(record, nil)
	last := errors.New("not tried")
	for started := time.Now(); time.Since(started) < startLimit; time.Sleep(100 * time.Millisecond) {
		if _, last = client.Publish(ctx, record); last == nil {
			return nil
		}
	}
	return fmt.Errorf("publish: %w", last)
}

func waitForCall(ctx context.Context) error {
	for started := time.Now(); time.Since(started) < startLimit; time.Sleep(100 * time.Millisecond) {
		if err := call(ctx, http.DefaultClient, calls, "Read"); err == nil {
			return nil
		}
	}
	return errors.New("the entry instance answers no call")
}

var body = bytes.Repeat([]byte{'x'}, 200)
