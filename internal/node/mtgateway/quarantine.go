// A request under which endpoints crash is kept from further ones. Each crash that this instance sees is a suspicion against
// all requests that it had in flight there; the other instances are told at once.

package mtgateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtquarantine"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// maxSuspectsPerMessage bounds the suspects in one message; one takes some 60 bytes.
	maxSuspectsPerMessage = 8
	// maxCrashesPerSuspect bounds the crashes that are read from a message.
	maxCrashesPerSuspect = 64
	// reasonQuarantined is the refusal reason of a request under which endpoints have crashed.
	reasonQuarantined = "quarantined"
)

// requestQuarantine is the quarantine of this instance; it is safe for concurrent use, and its mutex is a leaf.
type requestQuarantine struct {
	// size is the number of fingerprints: without any, requests need none.
	size atomic.Int64

	mu         sync.Mutex
	quarantine *mtquarantine.Quarantine
	// changed is closed and replaced when requests that are held should ask again.
	changed chan struct{}
}

func newRequestQuarantine() *requestQuarantine {
	return &requestQuarantine{
		quarantine: mtquarantine.New(),
		changed:    make(chan struct{}),
	}
}

func (q *requestQuarantine) isEmpty() bool {
	return q.size.Load() == 0
}

// update changes the quarantine and reports what the change returns; if that is true, held requests ask again.
func (q *requestQuarantine) update(change func(quarantine *mtquarantine.Quarantine) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := change(q.quarantine)
	q.size.Store(int64(q.quarantine.Len()))
	if changed {
		close(q.changed)
		q.changed = make(chan struct{})
	}
	return changed
}

// admit returns the decision on a request, and a channel that is closed when it should ask again.
func (q *requestQuarantine) admit(
	fingerprint mtfingerprint.Fingerprint, rank int, now time.Time,
) (mtquarantine.Admission, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Admit(fingerprint, rank, now), q.changed
}

func (q *requestQuarantine) isSuspected(fingerprint mtfingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.IsSuspected(fingerprint)
}

func (q *requestQuarantine) isQuarantined(fingerprint mtfingerprint.Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.IsQuarantined(fingerprint, now)
}

// wasQuarantined reports whether equal requests are quarantined, or were before the trial that goes on.
func (q *requestQuarantine) wasQuarantined(fingerprint mtfingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	evidence := q.quarantine.Evidence(fingerprint)
	_, found := evidence.QuarantineEnd()
	return found
}

func (q *requestQuarantine) counts(now time.Time) (suspected, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Counts(now)
}

func (q *requestQuarantine) expire(now time.Time) {
	q.update(func(quarantine *mtquarantine.Quarantine) bool {
		quarantine.Expire(now)
		return false
	})
}

// fingerprint identifies the request among equal ones.
func (a *activeRequest) fingerprint() mtfingerprint.Fingerprint {
	a.fingerprintOnce.Do(func() {
		a.fingerprintValue = mtfingerprint.Of(a.call.Request, a.call.Body)
	})
	return a.fingerprintValue
}

// isSuspected reports whether an endpoint has crashed under an equal request.
func (a *activeRequest) isSuspected() bool {
	quarantine := a.gateway.quarantine
	return !quarantine.isEmpty() && quarantine.isSuspected(a.fingerprint())
}

// isQuarantined reports whether no instance may send an equal request.
func (a *activeRequest) isQuarantined(now time.Time) bool {
	quarantine := a.gateway.quarantine
	return !quarantine.isEmpty() && quarantine.isQuarantined(a.fingerprint(), now)
}

// admit waits until the request may be sent. If that is a trial, endTrial must follow.
func (a *activeRequest) admit(ctx context.Context) (isTrial bool, rejection *mtscheduler.Rejection) {
	quarantine := a.gateway.quarantine
	for !quarantine.isEmpty() {
		now := time.Now()
		fingerprint := a.fingerprint()
		admission, changed := quarantine.admit(fingerprint, a.gateway.trialRank(fingerprint), now)
		switch admission.Verdict {
		case mtquarantine.Trial:
			a.gateway.announceTrial(fingerprint, true, now)
			return true, nil
		case mtquarantine.Reject:
			return false, &mtscheduler.Rejection{
				Reason:     reasonQuarantined,
				RetryAfter: admission.Until.Sub(now),
			}
		case mtquarantine.Hold:
			if !waitFor(ctx, changed, admission.Until.Sub(now)) {
				return false, &mtscheduler.Rejection{
					Reason: reasonExpired,
				}
			}
		default:
			return false, nil
		}
	}
	return false, nil
}

// waitFor waits for a change, or for a time, and reports whether the context has not ended.
func waitFor(ctx context.Context, changed <-chan struct{}, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// endTrial ends the trial of the request.
func (a *activeRequest) endTrial() {
	a.gateway.quarantine.update(func(quarantine *mtquarantine.Quarantine) bool {
		quarantine.EndTrial(a.fingerprint())
		return true
	})
	a.gateway.announceTrial(a.fingerprint(), false, time.Now())
}

// announceTrial tells the other instances that this one sends a suspected request, or has done so, and the evidence.
func (g *Gateway) announceTrial(fingerprint mtfingerprint.Fingerprint, begins bool, now time.Time) {
	suspects := g.suspects([]mtfingerprint.Fingerprint{fingerprint}, now)
	suspects[0].Trial = begins
	suspects[0].Done = !begins
	g.mesh.BroadcastSuspects(suspects, now)
}

// recordAnswered records that an endpoint has run the request and lives.
func (a *activeRequest) recordAnswered(now time.Time) {
	quarantine := a.gateway.quarantine
	if quarantine.isEmpty() {
		return
	}
	wasQuarantined := quarantine.wasQuarantined(a.fingerprint())
	isCleared := quarantine.update(func(quarantine *mtquarantine.Quarantine) bool {
		return quarantine.RecordAnswer(a.fingerprint(), now)
	})
	if !isCleared {
		return
	}
	mtevent.RequestCleared.Log(a.gateway.logger, logrus.Fields{
		"fingerprint": a.fingerprint().String(),
		"quarantined": wasQuarantined,
	})
	a.gateway.mesh.BroadcastSuspects(a.gateway.suspects([]mtfingerprint.Fingerprint{a.fingerprint()}, now), now)
	if wasQuarantined {
		go a.gateway.writeQuarantine(now)
	}
}

// recordCrash records that the endpoint of a grant has crashed while the request was in flight there.
func (a *activeRequest) recordCrash(grant mtscheduler.Assignment, now time.Time) {
	g := a.gateway
	fingerprint := a.fingerprint()
	wasQuarantined := a.isQuarantined(now)
	isNew := g.quarantine.update(func(quarantine *mtquarantine.Quarantine) bool {
		return quarantine.RecordCrash(fingerprint, mtsuspicion.Crash{
			Process: processHash(grant.Endpoint),
			At:      now,
		}, now)
	})
	if !isNew {
		return
	}
	g.metrics.countCrash(a.service)
	mtevent.RequestSuspected.Log(g.logger, logrus.Fields{
		"id":          a.id,
		"route":       a.route.Name,
		"endpoint":    grant.Endpoint.ID,
		"fingerprint": fingerprint.String(),
	})
	g.mesh.BroadcastSuspects(g.suspects([]mtfingerprint.Fingerprint{fingerprint}, now), now)
	if g.logQuarantine(fingerprint, wasQuarantined, false, now) {
		go g.writeQuarantine(now)
	}
}

// logQuarantine logs that a fingerprint is quarantined, if it was not before, and reports whether that is so.
func (g *Gateway) logQuarantine(fingerprint mtfingerprint.Fingerprint, wasQuarantined, isHearsay bool, now time.Time) bool {
	if wasQuarantined || !g.quarantine.isQuarantined(fingerprint, now) {
		return false
	}
	mtevent.RequestQuarantined.Log(g.logger, logrus.Fields{
		"fingerprint": fingerprint.String(),
		"hearsay":     isHearsay,
	})
	return true
}

// processHash identifies the process of an endpoint.
func processHash(endpoint *mtscheduler.Endpoint) uint64 {
	digest := xxhash.NewWithSeed(uint64(endpoint.Born))
	// Writing to a digest can't fail.
	_, _ = digest.WriteString(endpoint.ID)
	return digest.Sum64()
}

// trialRank returns the position of this instance in the order in which instances try a request after a quarantine: the
// receivers in an order that depends on the fingerprint, then all others.
func (g *Gateway) trialRank(fingerprint mtfingerprint.Fingerprint) int {
	current := g.receivers.Load()
	if current == nil {
		return 0
	}
	nodes := make([]mtrendezvous.Node, 0, len(current.receivers))
	for _, receiver := range current.receivers {
		nodes = append(nodes, mtrendezvous.Node{
			Name: receiver.Name,
		})
	}
	for rank, node := range mtrendezvous.ServingInstances(fingerprint.String(), nodes, len(nodes)) {
		if node.Name == g.settings().Instance {
			return rank
		}
	}
	return len(nodes)
}

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
