// An instance that starts after the store was restored from a copy, and reads the store itself, must learn from a peer what is in force
// and the store has lost, before it is ready.

package mtgateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtevacuation"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// maxLostRecordsWait is how long after its start an instance waits for lost records of a peer.
	maxLostRecordsWait = 2 * time.Second
	// peerContactWait is how long after its start an instance waits for the first row of a peer, if the store was restored.
	peerContactWait = 300 * time.Millisecond
	// firstEra is the era of a store that was not restored yet; one without eras has era 0.
	firstEra = 1
)

// lostRecordsReading is the state of reading lost records, which an instance does once.
type lostRecordsReading struct {
	// isRestored is set once the configuration was read from a store that was restored from a copy.
	isRestored atomic.Bool
	// hasPeer is set once a peer is known that may have lost records in force.
	hasPeer atomic.Bool
	started atomic.Bool
	done    atomic.Bool
}

// awaitsLostRecords reports whether an instance that has just started has not read the lost records yet. One that was ready
// stays so: callers have been sent to it.
func (g *Gateway) awaitsLostRecords(now time.Time) bool {
	if !g.lostRecords.isRestored.Load() || g.lostRecords.done.Load() || g.announcedReady.Load() {
		return false
	}
	limit := peerContactWait
	if g.lostRecords.hasPeer.Load() {
		limit = maxLostRecordsWait
	}
	return now.Sub(g.startedAt) < limit
}

// readLostRecords reads the records that a peer has in force and the restored store has lost, unless this was done before or
// this instance has not read the feed yet.
func (g *Gateway) readLostRecords(f *feed, row *peerv1.Row) {
	g.feeds.mu.Lock()
	position, known := f.follower.Position()
	g.feeds.mu.Unlock()
	if !known || position.Era <= firstEra || row.GetInstance() == g.settings().Instance || g.lostRecords.done.Load() {
		return
	}
	g.lostRecords.hasPeer.Store(true)
	if g.lostRecords.started.Swap(true) {
		return
	}
	go func() {
		defer g.lostRecords.started.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), peerReadTimeout)
		defer cancel()
		changes, err := peerv1.NewMeshServiceProtobufClient("http://"+row.GetMesh(), g.peerClient).Whole(ctx, &peerv1.WholeRequest{
			Feed: uint32(f.number),
			Era:  position.Era,
			From: position.Offset,
		})
		if err != nil {
			g.logger.WithField("peer", row.GetMesh()).WithError(err).Debug("could not read lost records from peer; the next row repeats it")
			return
		}
		g.applyPeerChanges(changes, time.Now())
		g.lostRecords.done.Store(true)
		g.announceReadiness(time.Now())
	}()
}

// newLostRecordsMessage returns the evacuations in force that the restored store has lost, for an instance that has reached the
// position.
func newLostRecordsMessage(f *feed, position mtreplication.Position, inForce []mtevacuation.Statement) *peerv1.Changes {
	return &peerv1.Changes{
		Feed:    uint32(f.number),
		Era:     position.Era,
		From:    position.Offset,
		To:      position.Offset,
		Changes: lostEvacuations(inForce, position.Era),
	}
}
