package mtquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
)

const (
	// maxEntries bounds the fingerprints; one takes some 400 bytes at most.
	maxEntries = 1024
	// newsTime is how long an instance waits after a crash for reports of others before it sends a suspected request. Each
	// instance waits as long again for the announcements of those before it, up to maxWaitRank of them.
	newsTime    = 20 * time.Millisecond
	maxWaitRank = 4
	// maxPeerTrialTime is the time after which the trial of another instance counts as ended.
	maxPeerTrialTime = 2 * time.Second
	// trialInterval is the time between the trials of successive instances after a quarantine: the next one tries only if
	// those before it had no such request.
	trialInterval = 2 * time.Second
	// maxHoldTime is the time after which a held request asks again at the latest.
	maxHoldTime = time.Second
)

// entry is the state of one fingerprint.
type entry struct {
	suspicion mtsuspicion.Suspicion
	// isTried is set while a request is sent as a trial, and peerTrialEnd is until when another instance does so at most.
	isTried      bool
	peerTrialEnd time.Time
	// changedAt is when the suspicion last changed here.
	changedAt time.Time
}

// Quarantine holds the fingerprints under which endpoints have crashed. It is not safe for concurrent use.
type Quarantine struct {
	entries map[mtfingerprint.Fingerprint]*entry
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{
		entries: map[mtfingerprint.Fingerprint]*entry{},
	}
}

// Len returns the number of fingerprints.
func (q *Quarantine) Len() int {
	return len(q.entries)
}

// Counts returns the numbers of fingerprints that are suspected, and of those among them that are quarantined.
func (q *Quarantine) Counts(now time.Time) (suspected, quarantined int) {
	for fingerprint, e := range q.entries {
		if e.suspicion.IsSuspected() {
			suspected++
		}
		if q.IsQuarantined(fingerprint, now) {
			quarantined++
		}
	}
	return suspected, quarantined
}

// IsSuspected reports whether an endpoint has crashed under an equal request, and none has answered one since.
func (q *Quarantine) IsSuspected(fingerprint mtfingerprint.Fingerprint) bool {
	e := q.entries[fingerprint]
	return e != nil && e.suspicion.IsSuspected()
}

// IsQuarantined reports whether no instance may send such a request.
func (q *Quarantine) IsQuarantined(fingerprint mtfingerprint.Fingerprint, now time.Time) bool {
	e := q.entries[fingerprint]
	if e == nil {
		return false
	}
	end, found := e.suspicion.QuarantineEnd()
	return found && now.Before(end)
}

// Admit decides on a request. Rank is the position of this instance, from 0, in the order in which instances may try
// such a request after a quarantine.
func (q *Quarantine) Admit(fingerprint mtfingerprint.Fingerprint, rank int, now time.Time) Admission {
	e := q.entries[fingerprint]
	if e == nil || !e.suspicion.IsSuspected() {
		return Admission{
			Verdict: Clear,
		}
	}
	if end, found := e.suspicion.QuarantineEnd(); found {
		end = end.Add(time.Duration(rank) * trialInterval)
		if now.Before(end) || e.isTried {
			return Admission{
				Verdict: Reject,
				Until:   maxTime(end, now.Add(trialInterval)),
			}
		}
	}
	wait := newsTime * time.Duration(1+min(rank, maxWaitRank))
	if end := maxTime(e.suspicion.LastCrash().Add(wait), e.peerTrialEnd); now.Before(end) {
		return Admission{
			Verdict: Hold,
			Until:   end,
		}
	}
	if e.isTried {
		return Admission{
			Verdict: Hold,
			Until:   now.Add(maxHoldTime),
		}
	}
	e.isTried = true
	return Admission{
		Verdict: Trial,
	}
}

// EndTrial ends the trial of a request.
func (q *Quarantine) EndTrial(fingerprint mtfingerprint.Fingerprint) {
	if e := q.entries[fingerprint]; e != nil {
		e.isTried = false
	}
}

// SetPeerTrial records that another instance begins or ends a trial of a request.
func (q *Quarantine) SetPeerTrial(fingerprint mtfingerprint.Fingerprint, begins bool, now time.Time) {
	e := q.entries[fingerprint]
	if e == nil {
		return
	}
	e.peerTrialEnd = time.Time{}
	if begins {
		e.peerTrialEnd = now.Add(maxPeerTrialTime)
	}
}

// RecordCrash records that an endpoint has crashed with such a request in flight, and reports whether that is new.
func (q *Quarantine) RecordCrash(fingerprint mtfingerprint.Fingerprint, crash mtsuspicion.Crash, now time.Time) bool {
	return q.Merge(fingerprint, mtsuspicion.Suspicion{
		Crashes: []mtsuspicion.Crash{crash},
	}, now)
}

// RecordAnswer records that an endpoint has answered such a request, and reports whether that ends a suspicion.
func (q *Quarantine) RecordAnswer(fingerprint mtfingerprint.Fingerprint, now time.Time) bool {
	e := q.entries[fingerprint]
	if e == nil || !e.suspicion.IsSuspected() || !e.suspicion.AddAnswer(now) {
		return false
	}
	e.changedAt = now
	return true
}

// Merge adds evidence of another instance and reports whether it changes the suspicion.
func (q *Quarantine) Merge(fingerprint mtfingerprint.Fingerprint, evidence mtsuspicion.Suspicion, now time.Time) bool {
	if evidence.IsExpired(now) {
		return false
	}
	e := q.entries[fingerprint]
	if e == nil {
		e = &entry{}
		q.makeRoom()
		q.entries[fingerprint] = e
	}
	changed := !evidence.AnsweredAt.IsZero() && e.suspicion.AddAnswer(evidence.AnsweredAt)
	for _, crash := range evidence.Crashes {
		changed = e.suspicion.AddCrash(crash) || changed
	}
	if changed {
		e.changedAt = now
	}
	return changed
}

// makeRoom evicts one of the fingerprints with the fewest crashes, the one that changed least recently, if there are too
// many.
func (q *Quarantine) makeRoom() {
	if len(q.entries) < maxEntries {
		return
	}
	var evicted mtfingerprint.Fingerprint
	var lowest *entry
	for fingerprint, e := range q.entries {
		if lowest == nil || compareWeight(e, lowest) < 0 {
			evicted, lowest = fingerprint, e
		}
	}
	delete(q.entries, evicted)
}

func compareWeight(a, b *entry) int {
	return cmp.Or(cmp.Compare(len(a.suspicion.Crashes), len(b.suspicion.Crashes)), a.changedAt.Compare(b.changedAt))
}

// Expire removes the fingerprints whose evidence is too old.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, e := range q.entries {
		if !e.isTried && e.suspicion.IsExpired(now) {
			delete(q.entries, fingerprint)
		}
	}
}

// Fingerprints returns all fingerprints, those that changed last first.
func (q *Quarantine) Fingerprints() []mtfingerprint.Fingerprint {
	fingerprints := make([]mtfingerprint.Fingerprint, 0, len(q.entries))
	for fingerprint := range q.entries {
		fingerprints = append(fingerprints, fingerprint)
	}
	slices.SortFunc(fingerprints, func(a, b mtfingerprint.Fingerprint) int {
		return cmp.Or(q.entries[b].changedAt.Compare(q.entries[a].changedAt), slices.Compare(a[:], b[:]))
	})
	return fingerprints
}

// Evidence returns the evidence about a fingerprint.
func (q *Quarantine) Evidence(fingerprint mtfingerprint.Fingerprint) mtsuspicion.Suspicion {
	e := q.entries[fingerprint]
	if e == nil {
		return mtsuspicion.Suspicion{}
	}
	return mtsuspicion.Suspicion{
		Crashes:    slices.Clone(e.suspicion.Crashes),
		AnsweredAt: e.suspicion.AnsweredAt,
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
