package mtgateway

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// newLimitTestGateway returns a gateway with an endpoint e-1 that is the only receiver of its fleet.
func newLimitTestGateway() *Gateway {
	gateway := newTestGateway()
	gateway.HandleChanges(newEndpointChanges(0, 1, true), time.Now())
	gateway.updateLimitShares([]mtsteering.Candidate{{}}, mtsteering.FleetCounts{
		Reachable: 1,
		Known:     1,
	}, time.Now())
	return gateway
}

// respond ends an attempt at an endpoint with a response.
func respond(gateway *Gateway, target *mtscheduler.Endpoint, verdict mtscheduler.Verdict, statement mtresponse.Metadata) {
	gateway.handleEndpointStatement(target, statement)
	gateway.finishAttempt("menu", "", mtscheduler.Assignment{Endpoint: target}, mtscheduler.AttemptResult{
		Verdict: verdict,
	}, &statement, time.Now())
}

func TestOnlyServedResponsesLiftLimit(t *testing.T) {
	named := mtresponse.Metadata{HasRequestLimit: true, RequestLimit: 1.5}
	for name, c := range map[string]struct {
		verdict   mtscheduler.Verdict
		statement mtresponse.Metadata
		isLifted  bool
	}{
		"served":             {mtscheduler.Served, mtresponse.Metadata{}, true},
		"named again":        {mtscheduler.Served, named, false},
		"unreadable":         {mtscheduler.Served, mtresponse.Metadata{InvalidRequestLimit: "many"}, false},
		"not run":            {mtscheduler.Shed, mtresponse.Metadata{NotRun: true}, false},
		"failed":             {mtscheduler.Failed, mtresponse.Metadata{}, false},
		"cancelled":          {mtscheduler.Abandoned, mtresponse.Metadata{}, false},
		"named in a refusal": {mtscheduler.Shed, named, false},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newLimitTestGateway()
			target := gateway.targets["e-1"]
			respond(gateway, target, mtscheduler.Served, named)
			require.True(t, target.RequestLimit.IsLimited(time.Now()))
			require.InDelta(t, 1.5, target.RequestLimit.OwnRate(time.Now()), 0)
			time.Sleep(time.Millisecond)
			respond(gateway, target, c.verdict, c.statement)
			require.Equal(t, !c.isLifted, target.RequestLimit.IsLimited(time.Now()))
		})
	}
}

func TestLimitOfOtherEndpointAtTheAddressIsIgnored(t *testing.T) {
	gateway := newLimitTestGateway()
	gateway.handleEndpointStatement(gateway.targets["e-1"], mtresponse.Metadata{
		EndpointID:      "another",
		HasRequestLimit: true,
	})
	require.False(t, gateway.targets["e-1"].RequestLimit.IsLimited(time.Now()))
}

func TestLimitsReachOtherInstances(t *testing.T) {
	first, second, third := newLimitTestGateway(), newLimitTestGateway(), newTestGateway()
	respond(first, first.targets["e-1"], mtscheduler.Served, mtresponse.Metadata{HasRequestLimit: true, RequestLimit: 2})
	second.ApplyEndpointLimits(first.EndpointLimits(time.Now()), time.Now())
	require.InDelta(t, 2, second.targets["e-1"].RequestLimit.OwnRate(time.Now()), 0)

	changes, err := second.Whole(context.Background(), &peerv1.WholeRequest{
		Feed: uint32(mtreplication.EndpointFeed),
	})
	require.NoError(t, err)
	third.HandleChanges(changes, time.Now())
	require.True(t, third.targets["e-1"].RequestLimit.IsLimited(time.Now()), "an instance that starts")
	require.Zero(t, third.targets["e-1"].RequestLimit.OwnRate(time.Now()), "it is no receiver yet")

	time.Sleep(2 * time.Millisecond)
	respond(first, first.targets["e-1"], mtscheduler.Served, mtresponse.Metadata{})
	limits := first.EndpointLimits(time.Now())
	require.Len(t, limits, 1)
	second.ApplyEndpointLimits(limits, time.Now())
	require.False(t, second.targets["e-1"].RequestLimit.IsLimited(time.Now()))
	require.Empty(t, first.EndpointLimits(time.Now().Add(liftedLimitTTL)))
}

func TestInvalidLimitsOfPeersAreIgnored(t *testing.T) {
	for name, limit := range map[string]*peerv1.Limit{
		"unknown endpoint": {Endpoint: "e-2", Named: true, Rate: 1},
		"other process":    {Endpoint: "e-1", Born: 7, Named: true, Rate: 1},
		"not a number":     {Endpoint: "e-1", Named: true, Rate: math.NaN()},
		"infinite":         {Endpoint: "e-1", Named: true, Rate: math.Inf(1)},
		"negative":         {Endpoint: "e-1", Named: true, Rate: -1},
		"too old":          {Endpoint: "e-1", Named: true, Rate: 1, Age: math.MaxUint64},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newLimitTestGateway()
			gateway.ApplyEndpointLimits([]*peerv1.Limit{limit}, time.Now())
			require.False(t, gateway.targets["e-1"].RequestLimit.IsLimited(time.Now()))
		})
	}
}

func TestLimitsPerMessageAreBounded(t *testing.T) {
	gateway := newLimitTestGateway()
	now := time.Now()
	var limits []*peerv1.Limit
	for number := range 3 * maxLimitsPerMessage {
		id := string(rune('a' + number))
		gateway.registry.Put(mtregistry.Entry{ID: id, Service: "menu"}, now)
		limits = append(limits, &peerv1.Limit{Endpoint: id, Named: true, Rate: 1})
	}
	gateway.refreshTargets(now)
	gateway.ApplyEndpointLimits(limits, now)
	sent := map[string]bool{}
	for range 200 {
		message := gateway.EndpointLimits(now)
		require.Len(t, message, maxLimitsPerMessage)
		for _, limit := range message {
			sent[limit.GetEndpoint()] = true
		}
	}
	require.Len(t, sent, 3*maxLimitsPerMessage, "all limits are sent over time")
}

// An older build reads marks without a time to rest as notices of endpoints that leave.
func TestLimitsAreNoMarks(t *testing.T) {
	gateway := newLimitTestGateway()
	respond(gateway, gateway.targets["e-1"], mtscheduler.Served, mtresponse.Metadata{HasRequestLimit: true, RequestLimit: 2})
	require.Empty(t, gateway.EndpointNotices(time.Now()))
	require.False(t, gateway.targets["e-1"].Draining)
}

func TestNewProcessOfEndpointHasNoLimit(t *testing.T) {
	gateway := newLimitTestGateway()
	respond(gateway, gateway.targets["e-1"], mtscheduler.Served, mtresponse.Metadata{HasRequestLimit: true, RequestLimit: 2})
	gateway.registry.Put(mtregistry.Entry{ID: "e-1", Born: 2, Service: "menu"}, time.Now())
	gateway.refreshTargets(time.Now())
	require.False(t, gateway.targets["e-1"].RequestLimit.IsLimited(time.Now()))
}
