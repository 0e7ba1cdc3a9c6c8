// The instances tell each other under which requests endpoints have crashed.

package mtgateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtquarantine"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// maxSuspectsPerMessage bounds the suspects in one message; one takes some 60 bytes.
	maxSuspectsPerMessage = 8
	// maxCrashesPerSuspect bounds the crashes that are read from a message.
	maxCrashesPerSuspect = 64
)

// Suspects returns evidence for the next message: half of it is what changed last, the rest is chosen at random, so that all
// is sent over time.
func (g *Gateway) Suspects(now time.Time) []*peerv1.Suspect {
	if g.quarantine.isEmpty() {
		return nil
	}
	fingerprints := g.suspectFingerprints()
	if len(fingerprints) > maxSuspectsPerMessage {
		others := fingerprints[maxSuspectsPerMessage/2:]
		rand.Shuffle(len(others), func(i, j int) {
			others[i], others[j] = others[j], others[i]
		})
		fingerprints = fingerprints[:maxSuspectsPerMessage]
	}
	return g.suspects(fingerprints, now)
}

func (g *Gateway) suspectFingerprints() []mtfingerprint.Fingerprint {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.quarantine.Fingerprints()
}

// suspects returns the evidence about fingerprints as messages have it.
func (g *Gateway) suspects(fingerprints []mtfingerprint.Fingerprint, now time.Time) []*peerv1.Suspect {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	suspects := make([]*peerv1.Suspect, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		evidence := g.quarantine.quarantine.Evidence(fingerprint)
		suspect := &peerv1.Suspect{
			Print:    fingerprint[:],
			Answered: !evidence.AnsweredAt.IsZero(),
		}
		if suspect.Answered {
			suspect.Age = milliseconds(now.Sub(evidence.AnsweredAt))
		}
		for _, crash := range evidence.Crashes {
			suspect.Crashes = append(suspect.Crashes, &peerv1.Crash{
				Process: crash.Process,
				Age:     milliseconds(now.Sub(crash.At)),
			})
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}

func milliseconds(duration time.Duration) uint64 {
	return uint64(max(0, duration.Milliseconds()))
}

// timeBefore returns the time that was an age in milliseconds, as read from a message, before now.
func timeBefore(now time.Time, age uint64) time.Time {
	return now.Add(-time.Duration(min(age, math.MaxInt32)) * time.Millisecond)
}

// ApplySuspects applies evidence from another instance.
func (g *Gateway) ApplySuspects(suspects []*peerv1.Suspect, now time.Time) {
	for _, suspect := range suspects {
		if len(suspect.GetPrint()) != mtfingerprint.Size || len(suspect.GetCrashes()) > maxCrashesPerSuspect {
			continue
		}
		fingerprint := mtfingerprint.Fingerprint(suspect.GetPrint())
		evidence := mtsuspicion.Suspicion{}
		if suspect.GetAnswered() {
			evidence.AnsweredAt = timeBefore(now, suspect.GetAge())
		}
		for _, crash := range suspect.GetCrashes() {
			evidence.Crashes = append(evidence.Crashes, mtsuspicion.Crash{
				Process: crash.GetProcess(),
				At:      timeBefore(now, crash.GetAge()),
			})
		}
		g.mergeEvidence(fingerprint, evidence, now)
		if suspect.GetTrial() || suspect.GetDone() {
			g.quarantine.update(func(quarantine *mtquarantine.Quarantine) bool {
				quarantine.SetPeerTrial(fingerprint, suspect.GetTrial(), now)
				return suspect.GetDone()
			})
		}
	}
}

// mergeEvidence adds evidence that this instance has not seen itself.
func (g *Gateway) mergeEvidence(fingerprint mtfingerprint.Fingerprint, evidence mtsuspicion.Suspicion, now time.Time) {
	wasQuarantined := g.quarantine.isQuarantined(fingerprint, now)
	g.quarantine.update(func(quarantine *mtquarantine.Quarantine) bool {
		return quarantine.Merge(fingerprint, evidence, now)
	})
	g.logQuarantine(fingerprint, wasQuarantined, true, now)
}
