package mtgateway

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtreplication"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// drainBound is the time within which an endpoint that has left must get no more requests.
	drainBound = 2 * time.Second
	// storeReturnBound is the time from the return of the store within which endpoints have registered again.
	storeReturnBound = 2 * time.Second
	// rowInterval is the time between two rows of an instance with a role.
	rowInterval = 400 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// newPeerRow returns a row of an instance that has just read the endpoints up to an offset.
func newPeerRow(offset uint64) *peerv1.Row {
	return &peerv1.Row{
		Instance: "peer",
		Standings: []*peerv1.Standing{
			{},
			{
				Offset: offset,
				Known:  true,
			},
		},
	}
}

func newEndpointRemoval(offset uint64) *peerv1.Changes {
	return &peerv1.Changes{
		Feed: uint32(mtreplication.EndpointFeed),
		From: offset,
		To:   offset + 1,
		Changes: []*peerv1.Change{
			{Key: "e-1", Gone: true},
		},
	}
}

// The others read the store without interruption, so an endpoint whose entry is removed has left.
func TestFailedReadsOfOneInstanceDoNotKeepRemovedEndpoint(t *testing.T) {
	gateway := newTestGateway()
	feed := gateway.feeds.byNumber[mtreplication.EndpointFeed]
	now := time.Now()
	gateway.HandleChanges(newEndpointChanges(0, 1, true), now)
	for range 10 {
		now = now.Add(rowInterval)
		gateway.HandleRow(newPeerRow(1), now)
		gateway.handleReadFailure(feed, errNoAnswer, mtreplication.Listener, now, now)
	}
	gateway.HandleChanges(newEndpointRemoval(1), now)
	require.Empty(t, gateway.targets)
}

// newInterruptedGateway returns a gateway of a fleet that could not read the store for a while, and the time at which
// the store has returned.
func newInterruptedGateway() (*Gateway, time.Time) {
	gateway := newTestGateway()
	feed := gateway.feeds.byNumber[mtreplication.EndpointFeed]
	now := time.Now()
	gateway.HandleChanges(newEndpointChanges(0, 1, true), now)
	for range 10 {
		now = now.Add(rowInterval)
		gateway.handleReadFailure(feed, errNoAnswer, mtreplication.Listener, now, now)
	}
	gateway.HandleRow(newPeerRow(1), now)
	return gateway, now
}

// What counts is the time since the store has returned, not since the removal: the endpoint has left in the meantime.
func TestEndpointRemovedAfterInterruptionIsDroppedInTime(t *testing.T) {
	gateway, returned := newInterruptedGateway()
	removed := returned.Add(storeReturnBound - 100*time.Millisecond)
	// Reads of this instance may fail for longer than the store is away.
	gateway.handleReadFailure(gateway.feeds.byNumber[mtreplication.EndpointFeed], errNoAnswer, mtreplication.Listener, removed, removed)
	gateway.HandleChanges(newEndpointRemoval(1), removed)
	gateway.expireEndpoints(removed.Add(drainBound - roleSelectionInterval))
	require.Empty(t, gateway.targets)
}

// An entry that expired because the store was away is back within storeReturnBound.
func TestEndpointThatRegistersAgainAfterInterruptionStaysInUse(t *testing.T) {
	gateway, returned := newInterruptedGateway()
	target := gateway.targets["e-1"]
	gateway.HandleChanges(newEndpointRemoval(1), returned)
	gateway.expireEndpoints(returned.Add(storeReturnBound))
	require.NotEmpty(t, gateway.targets)
	gateway.HandleChanges(newEndpointChanges(2, 3, false), returned.Add(storeReturnBound))
	gateway.expireEndpoints(returned.Add(time.Minute))
	require.Same(t, target, gateway.targets["e-1"])
}

// The fleet has reached the store again, and for a while no instance reads it: reads that were sent before go on to fail,
// and instances that have failed wait before they read again. An endpoint that is removed meanwhile has left.
func TestTimeWithoutReadsIsNoInterruption(t *testing.T) {
	gateway, returned := newInterruptedGateway()
	feed := gateway.feeds.byNumber[mtreplication.EndpointFeed]
	now := returned.Add(2 * storeReturnBound)
	gateway.handleReadFailure(feed, errNoAnswer, mtreplication.Listener, returned.Add(-rowInterval), now)
	gateway.HandleChanges(newEndpointRemoval(1), now)
	require.Empty(t, gateway.targets)
}

// This instance has not read the store, but a peer has failed to.
func TestFailedReadsOfPeerShowInterruption(t *testing.T) {
	gateway := newTestGateway()
	now := time.Now()
	gateway.HandleChanges(newEndpointChanges(0, 1, true), now)
	now = now.Add(2 * storeReturnBound)
	gateway.HandleRow(&peerv1.Row{Instance: "peer", Failed: 1000}, now)
	gateway.HandleChanges(newEndpointRemoval(1), now.Add(rowInterval))
	require.NotEmpty(t, gateway.targets)
}
