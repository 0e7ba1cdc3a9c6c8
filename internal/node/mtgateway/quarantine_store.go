// The quarantine outlasts a restart of all instances in a record of the store. The instance that sees a quarantine begin or
// end writes it; one that begins to read the store for all reads it once.

package mtgateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
)

const (
	// quarantineKey is the key of the record, beside that of the members.
	quarantineKey = "quarantine"
	// maxStoredSuspects bounds the fingerprints in the record, to some 20 KB.
	maxStoredSuspects = 64
	// quarantineStoreTimeout bounds a call to the store about the quarantine.
	quarantineStoreTimeout = 2 * time.Second
)

// storedSuspect is a quarantined fingerprint in the record.
type storedSuspect struct {
	Print   string        `json:"print"`
	Crashes []storedCrash `json:"crashes"`
}

// storedCrash is a crash in the record; At is in Unix milliseconds.
type storedCrash struct {
	Process uint64 `json:"process"`
	At      int64  `json:"at"`
}

// storedSuspects returns the quarantined fingerprints, those that changed last first.
func (g *Gateway) storedSuspects(now time.Time) []storedSuspect {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	suspects := []storedSuspect{}
	for _, fingerprint := range g.quarantine.quarantine.Fingerprints() {
		if len(suspects) == maxStoredSuspects {
			break
		}
		if !g.quarantine.quarantine.IsQuarantined(fingerprint, now) {
			continue
		}
		suspect := storedSuspect{
			Print: hex.EncodeToString(fingerprint[:]),
		}
		for _, crash := range g.quarantine.quarantine.Evidence(fingerprint).Crashes {
			suspect.Crashes = append(suspect.Crashes, storedCrash{
				Process: crash.Process,
				At:      crash.At.UnixMilli(),
			})
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}

// writeQuarantine writes the record.
func (g *Gateway) writeQuarantine(now time.Time) {
	value, err := json.Marshal(g.storedSuspects(now))
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineStoreTimeout)
		defer cancel()
		err = g.store.Append(ctx, mtreplication.MemberFeed, quarantineKey, value)
		g.metrics.countStoreCall(mtreplication.MemberFeed, err)
	}
	if err != nil {
		g.logQuarantineNotStored("write", err)
	}
}

// readQuarantine reads the record and notifies the other instances.
func (g *Gateway) readQuarantine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	batch, err := g.store.ReadNewest(ctx, mtreplication.MemberFeed)
	g.metrics.countStoreCall(mtreplication.MemberFeed, err)
	if err != nil {
		g.logQuarantineNotStored("read", err)
		return
	}
	now := time.Now()
	for _, change := range batch.Changes {
		if change.Key == quarantineKey {
			g.applyStoredQuarantine(change.Value, now)
		}
	}
}

// applyStoredQuarantine applies the value of the record.
func (g *Gateway) applyStoredQuarantine(value []byte, now time.Time) {
	var stored []storedSuspect
	if err := json.Unmarshal(value, &stored); err != nil {
		g.logUndecodableQuarantine(err.Error())
		return
	}
	var fingerprints []mtfingerprint.Fingerprint
	for _, suspect := range stored[:min(len(stored), maxStoredSuspects)] {
		print, err := hex.DecodeString(suspect.Print)
		if err != nil || len(print) != mtfingerprint.Size || len(suspect.Crashes) > maxCrashesPerSuspect {
			g.logUndecodableQuarantine("found print " + truncateText(suspect.Print) + ", expected a fingerprint and its crashes")
			continue
		}
		evidence := mtsuspicion.Suspicion{}
		for _, crash := range suspect.Crashes {
			evidence.Crashes = append(evidence.Crashes, mtsuspicion.Crash{
				Process: crash.Process,
				At:      earlierTime(time.UnixMilli(crash.At), now),
			})
		}
		fingerprint := mtfingerprint.Fingerprint(print)
		g.mergeEvidence(fingerprint, evidence, now)
		fingerprints = append(fingerprints, fingerprint)
	}
	if len(fingerprints) > 0 {
		g.mesh.BroadcastSuspects(g.suspects(fingerprints, now), now)
	}
}

// logQuarantineNotStored logs that the record could not be written or read, as call says.
func (g *Gateway) logQuarantineNotStored(call string, err error) {
	mtevent.QuarantineNotStored.Log(g.logger, logrus.Fields{
		"call":  call,
		"error": err.Error(),
	})
}

func (g *Gateway) logUndecodableQuarantine(reason string) {
	mtevent.RecordUndecodable.Log(g.logger, logrus.Fields{
		"feed":  mtreplication.MemberFeed.String(),
		"error": reason,
	})
}

// earlierTime returns the earlier one of two times: the clock of the instance that has written a time may be ahead.
func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
