package mtsite

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
	"github.com/mangotack/mangotack/internal/standin/mtplatform"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// The tokens of the site.
const (
	OperatorToken = "operator-token"
	OwnerToken    = "owner-token"
)

const (
	peerSecret = "a-secret-of-all-peers"
	patience   = 30 * time.Second
	// unreachable is an address at which nothing listens.
	unreachable = "127.0.0.1:1"
)

// Site is a platform with its entry instances.
type Site struct {
	Log   *mtplatform.Log
	List  *mtplatform.List
	Nodes []*Node
	t     testing.TB
	url   string
	// operator is the operators' token.
	operator  string
	stale     time.Duration
	retention time.Duration
}

// Option changes a site under construction.
type Option func(*Site)

// WithOperator sets the operators' token.
func WithOperator(token string) Option {
	return func(s *Site) {
		s.operator = token
	}
}

// Node is one running entry instance.
type Node struct {
	Name    string
	Calls   string
	Control string
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// WithStale sets how long instances admit calls without the log and without peers.
func WithStale(stale time.Duration) Option {
	return func(s *Site) {
		s.stale = stale
	}
}

// WithRetention sets how long the log keeps a record.
func WithRetention(retention time.Duration) Option {
	return func(s *Site) {
		s.retention = retention
	}
}

// NodeOption changes the settings of an entry instance.
type NodeOption func(*settingsv1.Settings)

// WithoutLog makes an instance unable to reach the log.
func WithoutLog() NodeOption {
	return func(settings *settingsv1.Settings) {
		settings.Log = unreachable
	}
}

// NewSite runs a platform without entry instances; the test's end stops everything.
func NewSite(t testing.TB, options ...Option) *Site {
	site := &Site{
		List:      mtplatform.NewList(0),
		t:         t,
		operator:  OperatorToken,
		stale:     time.Minute,
		retention: time.Hour,
	}
	for _, option := range options {
		option(site)
	}
	site.Log = mtplatform.NewLog(site.retention)
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewLogServiceHandler(site.Log))
	mux.Handle(platformv1connect.NewInstanceListServiceHandler(site.List))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(site.stop)
	site.url = strings.TrimPrefix(server.URL, "http://")
	return site
}

// stop makes all instances leave at the same moment.
func (s *Site) stop() {
	var group sync.WaitGroup
	for _, node := range s.Nodes {
		group.Go(node.Stop)
	}
	group.Wait()
}

// AddNode runs an entry instance.
func (s *Site) AddNode(name string, options ...NodeOption) *Node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := &settingsv1.Settings{
		Instance:  name,
		Centre:    "a",
		Calls:     "127.0.0.1:0",
		Control:   "127.0.0.1:0",
		Log:       s.url,
		List:      s.url,
		Peer:      peerSecret,
		Operators: []string{mtrules.HashToken(s.operator)},
		Hold:      durationpb.New(100 * time.Millisecond),
		Stale:     durationpb.New(s.stale),
		Body:      1 << 16,
		Keys:      100_000,
		Retention: durationpb.New(s.retention),
	}
	for _, option := range options {
		option(settings)
	}
	for _, other := range s.Nodes {
		settings.Seeds = append(settings.Seeds, other.Control)
	}
	built, err := mtnode.NewNode(settings, logger, time.Now())
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		Name: name,
		stop: cancel,
	}
	node.Calls, node.Control = built.Addresses()
	node.done.Go(func() {
		_ = built.Run(ctx)
	})
	s.Nodes = append(s.Nodes, node)
	return node
}

// Stop makes the instance leave and waits until it has.
func (n *Node) Stop() {
	n.stop()
	n.done.Wait()
}

// AddEndpoint lists an endpoint.
func (s *Site) AddEndpoint(name, service, address string) {
	s.List.Put(&platformv1.Instance{
		Name:    name,
		Service: service,
		Address: address,
		Centre:  "a",
	}, time.Time{})
}

// Operator returns a client of the first instance's control address.
func (s *Site) Operator(token string) *mtoperator.Client {
	return mtoperator.NewClient(s.Nodes[0].Control, token)
}

// Publish publishes records with the token that each needs and waits until all are in force everywhere.
func (s *Site) Publish(records ...*recordv1.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	last := uint64(0)
	for _, record := range records {
		token := OperatorToken
		if record.GetApproval() != nil {
			token = OwnerToken
		}
		client := s.Operator(token)
		var status *entryv1.StatusResponse
		s.Eventually(func() bool {
			var err error
			status, err = client.Status(ctx)
			return err == nil && status.GetReady()
		}, "an instance that is ready")
		client.Complete(record, status.GetVersions())
		answer, err := client.Publish(ctx, record)
		require.NoError(s.t, err)
		require.True(s.t, answer.GetAccepted())
		last = answer.GetOffset()
	}
	require.NoError(s.t, s.Operator(OperatorToken).Wait(ctx, last, func(*entryv1.ForceResponse) {}))
}

// Eventually waits until a condition holds.
func (s *Site) Eventually(condition func() bool, what string) {
	for started := time.Now(); time.Since(started) < patience; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.FailNow(s.t, fmt.Sprintf("waited %s for %s", patience, what))
}
