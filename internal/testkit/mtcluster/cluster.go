package mtcluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtrules"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/node/mtnode"
	"github.com/mangotack/mangotack/internal/standin/mtfakeplatform"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// The tokens that Publish uses: the operators' token, and the service owner's token for approvals.
const (
	OperatorToken = "operator-token"
	OwnerToken    = "owner-token"
)

const (
	peerSecret = "a-secret-of-all-peers"
	// waitTimeout bounds Publish and Eventually.
	waitTimeout = 30 * time.Second
	// unreachableAddress is an address without a listener.
	unreachableAddress = "127.0.0.1:1"
)

// Cluster is a stand-in for the platform with its entry instances.
type Cluster struct {
	Log          *mtfakeplatform.Log
	InstanceList *mtfakeplatform.InstanceList
	Instances    []*Instance
	t            testing.TB
	// platformAddress is the address of the log and of the instance list, without a scheme.
	platformAddress string
	operatorToken   string
	// staleTimeout is how long instances admit calls while they reach neither the log nor a peer.
	staleTimeout time.Duration
	retention    time.Duration
}

// Option configures a cluster in NewCluster.
type Option func(*Cluster)

// WithOperatorToken sets the operators' token; the default is OperatorToken.
func WithOperatorToken(token string) Option {
	return func(s *Cluster) {
		s.operatorToken = token
	}
}

// Instance is one running entry instance.
type Instance struct {
	Name string
	// CallsAddress is the address for calls, and Control the address for peers and operators.
	CallsAddress   string
	ControlAddress string
	cancel         context.CancelFunc
	// running ends when the instance has left.
	running sync.WaitGroup
}

// WithStaleTimeout sets how long instances admit calls while they reach neither the log nor a peer; the default is one minute.
func WithStaleTimeout(stale time.Duration) Option {
	return func(s *Cluster) {
		s.staleTimeout = stale
	}
}

// WithRetention sets how long the log retains a record, also in the settings of the instances; the default is one hour.
func WithRetention(retention time.Duration) Option {
	return func(s *Cluster) {
		s.retention = retention
	}
}

// InstanceOption changes the settings of an entry instance.
type InstanceOption func(*settingsv1.Settings)

// WithUnreachableLog sets an address of the log that can't be reached.
func WithUnreachableLog() InstanceOption {
	return func(settings *settingsv1.Settings) {
		settings.Log = unreachableAddress
	}
}

// NewCluster starts the stand-in for the platform, without entry instances. All of it stops when the test ends.
func NewCluster(t testing.TB, options ...Option) *Cluster {
	site := &Cluster{
		InstanceList:  mtfakeplatform.NewInstanceList(0),
		t:             t,
		operatorToken: OperatorToken,
		staleTimeout:  time.Minute,
		retention:     time.Hour,
	}
	for _, option := range options {
		option(site)
	}
	site.Log = mtfakeplatform.NewLog(site.retention)
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewLogServiceHandler(site.Log))
	mux.Handle(platformv1connect.NewInstanceListServiceHandler(site.InstanceList))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(site.stopInstances)
	site.platformAddress = strings.TrimPrefix(server.URL, "http://")
	return site
}

// stopInstances stops all instances concurrently.
func (s *Cluster) stopInstances() {
	var group sync.WaitGroup
	for _, node := range s.Instances {
		group.Go(node.Stop)
	}
	group.Wait()
}

// AddInstance starts an entry instance whose seeds are the earlier ones.
func (s *Cluster) AddInstance(name string, options ...InstanceOption) *Instance {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := &settingsv1.Settings{
		Instance:  name,
		Centre:    "a",
		Calls:     "127.0.0.1:0",
		Control:   "127.0.0.1:0",
		Log:       s.platformAddress,
		List:      s.platformAddress,
		Peer:      peerSecret,
		Operators: []string{mtrules.HashToken(s.operatorToken)},
		Hold:      durationpb.New(100 * time.Millisecond),
		Stale:     durationpb.New(s.staleTimeout),
		Body:      1 << 16,
		Keys:      100_000,
		Retention: durationpb.New(s.retention),
	}
	for _, option := range options {
		option(settings)
	}
	for _, other := range s.Instances {
		settings.Seeds = append(settings.Seeds, other.ControlAddress)
	}
	instance, err := mtnode.NewNode(settings, logger, time.Now())
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	node := &Instance{
		Name:   name,
		cancel: cancel,
	}
	node.CallsAddress, node.ControlAddress = instance.Addresses()
	node.running.Go(func() {
		_ = instance.Run(ctx)
	})
	s.Instances = append(s.Instances, node)
	return node
}

// Stop makes the instance leave and waits until it has stopped.
func (n *Instance) Stop() {
	n.cancel()
	n.running.Wait()
}

// RegisterEndpoint adds an endpoint to the instance list; it starts no server.
func (s *Cluster) RegisterEndpoint(name, service, address string) {
	s.InstanceList.Put(&platformv1.Instance{
		Name:    name,
		Service: service,
		Address: address,
		Centre:  "a",
	}, time.Time{})
}

// OperatorClient returns a client for operators at the control address of the first instance.
func (s *Cluster) OperatorClient(token string) *mtoperator.Client {
	return mtoperator.NewClient(s.Instances[0].ControlAddress, token)
}

// Publish publishes records, approvals with the owner's token and others with the operators' token. It waits until all
// of them are in force on every instance.
func (s *Cluster) Publish(records ...*recordv1.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	lastOffset := uint64(0)
	for _, record := range records {
		token := OperatorToken
		if record.GetApproval() != nil {
			token = OwnerToken
		}
		client := s.OperatorClient(token)
		var status *entryv1.StatusResponse
		s.Eventually(func() bool {
			var err error
			status, err = client.Status(ctx)
			return err == nil && status.GetReady()
		}, "the first instance to be ready")
		client.PrepareRecord(record, status.GetVersions())
		response, err := client.Publish(ctx, record)
		require.NoError(s.t, err)
		require.True(s.t, response.GetAccepted())
		lastOffset = response.GetOffset()
	}
	require.NoError(s.t, s.OperatorClient(OperatorToken).WaitInForce(ctx, lastOffset, func(*entryv1.ForceResponse) {}))
}

// Eventually polls a condition until it is true, and fails the test after 30 seconds. The description names what is
// awaited.
func (s *Cluster) Eventually(condition func() bool, description string) {
	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.FailNow(s.t, fmt.Sprintf("waited %s for %s", waitTimeout, description))
}
