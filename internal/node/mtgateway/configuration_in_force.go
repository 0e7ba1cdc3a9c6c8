package mtgateway

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// maxAnnouncedVersionWait is how long after its start an instance waits for a configuration that another instance has
// in force and the store may have lost.
const maxAnnouncedVersionWait = 2 * time.Second

// configurationInForce is the configuration in force with its record, which is passed to other instances if the store
// loses it.
type configurationInForce struct {
	revision mtroute.Revision
	record   mtreplication.Change
}

// versionInForce returns the version of the configuration in force, or 0.
func (g *Gateway) versionInForce() uint64 {
	if current := g.inForce.Load(); current != nil {
		return current.revision.Version
	}
	return 0
}

// lostConfiguration returns the record in force if the store may have lost it, or nil: it was read in an era before the
// given one, or the newest records, by key, have an invalid one instead.
func (g *Gateway) lostConfiguration(era uint64, newest map[string][]byte) *peerv1.Change {
	current := g.inForce.Load()
	if current == nil ||
		current.revision.Era >= era && bytes.Equal(newest[current.record.Key], current.record.Value) {
		return nil
	}
	return &peerv1.Change{
		Key:   current.record.Key,
		Value: current.record.Value,
		Lost:  true,
		Era:   current.revision.Era,
	}
}

// awaitsAnnouncedVersion reports whether an instance that has just started lacks a configuration that another instance
// has in force.
func (g *Gateway) awaitsAnnouncedVersion(now time.Time) bool {
	return now.Sub(g.startedAt) < maxAnnouncedVersionWait && g.versionInForce() < g.announcedVersion.Load()
}

// isBehind reports whether another instance has announced a later configuration within a time.
func (g *Gateway) isBehind(within time.Duration, now time.Time) bool {
	return g.announcedVersion.Load() > g.versionInForce() && now.Sub(g.announcedVersion.raisedAt()) <= within
}

// highestVersion is the highest of the versions that raise was called with.
type highestVersion struct {
	atomic.Uint64
	at atomic.Pointer[time.Time]
}

func (h *highestVersion) raise(version uint64, now time.Time) {
	for {
		current := h.Load()
		if version <= current {
			return
		}
		h.at.Store(&now)
		if h.CompareAndSwap(current, version) {
			return
		}
	}
}

// raisedAt returns when the version was last raised, or the zero time.
func (h *highestVersion) raisedAt() time.Time {
	if at := h.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
