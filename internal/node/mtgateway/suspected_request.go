// A request under which an endpoint has crashed is suspected: equal ones are sent one at a time, and not at all after several
// crashes.

package mtgateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtquarantine"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
)

// reasonQuarantined is the refusal reason of a request under which endpoints have crashed.
const reasonQuarantined = "quarantined"

// credentialHeaders name the headers by which requests of different callers differ.
var credentialHeaders = []string{"Authorization", "Cookie"}

// fingerprint identifies the request among equal ones. It does not depend on the address of the caller, who may come back
// from another one.
func (a *activeRequest) fingerprint() mtfingerprint.Fingerprint {
	a.fingerprintOnce.Do(func() {
		request := a.call.Request
		parts := []string{request.Method, request.Host, request.RequestURI}
		for _, name := range credentialHeaders {
			parts = append(parts, request.Header.Get(name))
		}
		if a.authorization.tenantName != "" {
			parts = append(parts, a.authorization.tenantName)
		}
		a.fingerprintValue = mtfingerprint.Of(parts, append([][]byte{a.call.Body}, a.call.MoreBody...)...)
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
