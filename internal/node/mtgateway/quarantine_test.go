package mtgateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtmesh"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtquarantine"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// memberStore is a store of one record.
type memberStore struct {
	Store
	key   string
	value []byte
}

func (s *memberStore) Append(_ context.Context, _ mtreplication.Feed, key string, value []byte) error {
	s.key, s.value = key, value
	return nil
}

func (s *memberStore) ReadNewest(context.Context, mtreplication.Feed) (mtreplication.Batch, error) {
	return mtreplication.Batch{
		Changes: []mtreplication.Change{
			{Key: membersKey, Value: []byte(`["10.0.0.1:1"]`)},
			{Key: s.key, Value: s.value},
		},
	}, nil
}

// newQuarantineTestGateway returns a gateway without endpoints or peers.
func newQuarantineTestGateway(t *testing.T) *Gateway {
	t.Helper()
	gateway := newTestGateway()
	mesh, err := mtmesh.NewMesh(&peerv1.Row{Instance: "self", Mesh: "127.0.0.1:0"}, nil, gateway, gateway.logger)
	require.NoError(t, err)
	gateway.mesh = mesh
	gateway.metrics = newGatewayMetrics()
	gateway.store = &memberStore{}
	return gateway
}

// newSuspectedRequest returns a request under which a number of endpoints have crashed a while ago.
func newSuspectedRequest(t *testing.T, crashes int) *activeRequest {
	t.Helper()
	a := newTestRequest(&mtroute.Route{Idempotent: true, Attempts: 3})
	a.gateway = newQuarantineTestGateway(t)
	a.gateway.retryBudgets = newRetryBudgets(0, time.Second)
	a.service = "menu"
	a.results = make(chan attemptResult, 4)
	a.call.Request = &http.Request{Method: http.MethodGet, Host: "a.example", RequestURI: "/menu/1", Header: http.Header{}}
	now := time.Now()
	a.gateway.quarantine.update(func(quarantine *mtquarantine.Quarantine) bool {
		for i := range crashes {
			quarantine.RecordCrash(a.fingerprint(), mtsuspicion.Crash{
				Process: uint64(i),
				At:      now.Add(-time.Second),
			}, now)
		}
		return true
	})
	return a
}

func TestQuarantinedRequestIsRefusedAsNotRun(t *testing.T) {
	a := newSuspectedRequest(t, 3)
	a.startAttempt(context.Background(), false)
	result := <-a.results
	a.activeAttempts = 0
	answer := a.handleResult(context.Background(), result)
	require.Equal(t, http.StatusServiceUnavailable, answer.Status)
	retryAfter, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 30, retryAfter, 5)
	require.Zero(t, a.sentAttempts)
}

// An attempt of the same request has crashed the third endpoint.
func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	a := newSuspectedRequest(t, 3)
	a.mayHaveRun = true
	a.startAttempt(context.Background(), false)
	result := <-a.results
	a.activeAttempts = 0
	answer := a.handleResult(context.Background(), result)
	require.Equal(t, http.StatusBadGateway, answer.Status)
}

func TestSuspectedRequestIsNotHedged(t *testing.T) {
	a := newSuspectedRequest(t, 1)
	a.activeAttempts = 1
	a.tryHedge(context.Background())
	require.Equal(t, 1, a.activeAttempts)
}

func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	require.True(t, newSuspectedRequest(t, 2).mayRetry(true))
	require.False(t, newSuspectedRequest(t, 3).mayRetry(true))
}

// A request that was queued when the first endpoint crashed is not sent, but decided on again.
func TestQueuedRequestIsNotSentOnceSuspected(t *testing.T) {
	a := newSuspectedRequest(t, 1)
	require.True(t, a.isSuspected())
	isTrial, rejection := a.admit(context.Background())
	require.Nil(t, rejection)
	require.True(t, isTrial)
	ended := make(chan bool)
	go func() {
		isTrial, _ := a.admit(context.Background())
		ended <- isTrial
	}()
	a.recordAnswered(time.Now())
	a.endTrial()
	require.False(t, <-ended, "the held one is no trial once the suspicion is cleared")
}

func TestHeldRequestEndsWithItsCaller(t *testing.T) {
	a := newSuspectedRequest(t, 1)
	_, _ = a.admit(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, rejection := a.admit(ctx)
	require.Equal(t, reasonExpired, rejection.Reason)
}

func TestSuspectsReachOtherInstances(t *testing.T) {
	a := newSuspectedRequest(t, 3)
	second, third := newQuarantineTestGateway(t), newQuarantineTestGateway(t)
	second.ApplySuspects(a.gateway.Suspects(time.Now()), time.Now())
	require.True(t, second.quarantine.isQuarantined(a.fingerprint(), time.Now()))

	changes, err := func() (*peerv1.Changes, error) {
		second.HandleChanges(newEndpointChanges(0, 1, true), time.Now())
		return second.Whole(context.Background(), &peerv1.WholeRequest{Feed: uint32(mtreplication.EndpointFeed)})
	}()
	require.NoError(t, err)
	third.HandleChanges(changes, time.Now())
	require.True(t, third.quarantine.isQuarantined(a.fingerprint(), time.Now()), "an instance that starts")

	a.recordAnswered(time.Now())
	second.ApplySuspects(a.gateway.Suspects(time.Now()), time.Now())
	require.False(t, second.quarantine.isSuspected(a.fingerprint()))
	second.ApplySuspects(changes.GetSuspects(), time.Now())
	require.False(t, second.quarantine.isSuspected(a.fingerprint()), "an older report")
}

func TestInvalidSuspectsOfPeersAreIgnored(t *testing.T) {
	gateway := newQuarantineTestGateway(t)
	gateway.ApplySuspects([]*peerv1.Suspect{
		{},
		{Print: []byte("short"), Crashes: []*peerv1.Crash{{Process: 1}}},
		{Print: make([]byte, mtfingerprint.Size), Crashes: make([]*peerv1.Crash, maxCrashesPerSuspect+1)},
		{Print: make([]byte, mtfingerprint.Size), Crashes: []*peerv1.Crash{{Process: 1, Age: 1 << 63}}},
	}, time.Now())
	require.True(t, gateway.quarantine.isEmpty())
}

func TestSuspectsPerMessageAreBounded(t *testing.T) {
	gateway := newQuarantineTestGateway(t)
	now := time.Now()
	for number := range 5 * maxSuspectsPerMessage {
		gateway.ApplySuspects([]*peerv1.Suspect{{
			Print:   append(make([]byte, mtfingerprint.Size-1), byte(number)),
			Crashes: []*peerv1.Crash{{Process: 1}},
		}}, now)
	}
	sent := map[string]bool{}
	for range 300 {
		message := gateway.Suspects(now)
		require.Len(t, message, maxSuspectsPerMessage)
		for _, suspect := range message {
			sent[string(suspect.GetPrint())] = true
		}
	}
	require.Len(t, sent, 5*maxSuspectsPerMessage, "all are sent over time")
}

func TestQuarantineSurvivesRestartOfAllInstances(t *testing.T) {
	a := newSuspectedRequest(t, 3)
	now := time.Now()
	a.gateway.writeQuarantine(now)
	restarted := newQuarantineTestGateway(t)
	restarted.store = a.gateway.store
	restarted.readQuarantine(context.Background())
	require.True(t, restarted.quarantine.isQuarantined(a.fingerprint(), now))

	for name, value := range map[string]string{
		"no list":        `{}`,
		"no hash":        `[{"print":"xy"}]`,
		"short hash":     `[{"print":"00"}]`,
		"huge time":      `[{"print":"00000000000000000000000000000000","crashes":[{"at":-9223372036854775808}]}]`,
		"empty":          ``,
		"other elements": `["10.0.0.1:1"]`,
	} {
		gateway := newQuarantineTestGateway(t)
		gateway.applyStoredQuarantine([]byte(value), now)
		require.True(t, gateway.quarantine.isEmpty(), name)
	}
}

// A reset connection of an endpoint that lives, or of an instance that reaches no endpoint, is no crash.
func TestOnlyRefusedConnectionsShowCrash(t *testing.T) {
	gateway := newQuarantineTestGateway(t)
	gateway.endpointPool = mtupstream.NewPool(nil, nil)
	alive := newListenerEndpoint(t, "e-1")
	crashed := newListenerEndpoint(t, "e-2")
	crashed.close()
	require.False(t, gateway.hasCrashed("menu", alive.endpoint))
	gateway.placerFor("menu").SetEndpoints([]*mtscheduler.Endpoint{crashed.endpoint, alive.endpoint})
	require.True(t, gateway.hasCrashed("menu", crashed.endpoint))
	alive.close()
	require.False(t, gateway.hasCrashed("menu", crashed.endpoint), "this instance may be partitioned")
	gateway.placerFor("menu").SetEndpoints([]*mtscheduler.Endpoint{crashed.endpoint})
	require.True(t, gateway.hasCrashed("menu", crashed.endpoint), "the service has one endpoint")
}

// listenerEndpoint is an endpoint that only accepts connections.
type listenerEndpoint struct {
	endpoint *mtscheduler.Endpoint
	close    func()
}

func newListenerEndpoint(t *testing.T, id string) listenerEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listenerEndpoint{
		endpoint: &mtscheduler.Endpoint{
			ID:      id,
			Address: listener.Addr().String(),
			Slots:   1,
		},
		close: func() { _ = listener.Close() },
	}
}
