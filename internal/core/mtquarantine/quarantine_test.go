package mtquarantine

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
)

func numbered(number int) mtfingerprint.Fingerprint {
	var fingerprint mtfingerprint.Fingerprint
	binary.BigEndian.PutUint64(fingerprint[:], uint64(number))
	return fingerprint
}

func recordCrashes(q *Quarantine, fingerprint mtfingerprint.Fingerprint, count int, now time.Time) {
	for i := range count {
		q.RecordCrash(fingerprint, mtsuspicion.Crash{
			Process: uint64(i),
			At:      now,
		}, now)
	}
}

func TestUnknownRequestIsClear(t *testing.T) {
	q := New()
	require.Equal(t, Clear, q.Admit(deadly, 0, t0).Verdict)
	q.EndTrial(deadly)
	q.SetPeerTrial(deadly, true, t0)
	require.False(t, q.RecordAnswer(deadly, t0))
	require.Zero(t, q.Len())
}

// Equal requests of many callers were in flight beside a deadly one: one is tried, and its answer clears all.
func TestSuspectedRequestsAreSentOneAtATime(t *testing.T) {
	q := New()
	recordCrashes(q, deadly, 2, t0)
	held := q.Admit(deadly, 1, t0)
	require.Equal(t, Hold, held.Verdict)
	require.Equal(t, t0.Add(2*newsTime), held.Until)
	now := held.Until
	require.Equal(t, Trial, q.Admit(deadly, 1, now).Verdict)
	require.Equal(t, Hold, q.Admit(deadly, 1, now).Verdict)
	require.True(t, q.RecordAnswer(deadly, now))
	q.EndTrial(deadly)
	require.Equal(t, Clear, q.Admit(deadly, 1, now).Verdict)
}

func TestRequestIsHeldDuringTrialOfPeer(t *testing.T) {
	q := New()
	recordCrashes(q, deadly, 1, t0)
	now := t0.Add(time.Minute)
	q.SetPeerTrial(deadly, true, now)
	require.Equal(t, Admission{
		Verdict: Hold,
		Until:   now.Add(maxPeerTrialTime),
	}, q.Admit(deadly, 0, now))
	q.SetPeerTrial(deadly, false, now)
	require.Equal(t, Trial, q.Admit(deadly, 0, now).Verdict)
}

func TestQuarantinedRequestIsRejectedAtOnce(t *testing.T) {
	q := New()
	recordCrashes(q, deadly, 3, t0)
	admission := q.Admit(deadly, 2, t0)
	require.Equal(t, Reject, admission.Verdict)
	end := t0.Add(30*time.Second + 2*trialInterval)
	require.Equal(t, end, admission.Until)
	require.Equal(t, Reject, q.Admit(deadly, 2, end.Add(-1)).Verdict, "instances before this one may try")
	require.Equal(t, Trial, q.Admit(deadly, 2, end).Verdict)
	require.Equal(t, Reject, q.Admit(deadly, 2, end).Verdict, "one trial at a time")
	suspected, quarantined := q.Counts(t0)
	require.Equal(t, 1, suspected)
	require.Equal(t, 1, quarantined)
}

func TestNumberOfFingerprintsIsBounded(t *testing.T) {
	q := New()
	recordCrashes(q, deadly, 3, t0)
	for number := range 3 * maxEntries {
		recordCrashes(q, numbered(number), 1, t0.Add(time.Duration(number)*time.Millisecond))
	}
	require.Equal(t, maxEntries, q.Len())
	require.True(t, q.IsQuarantined(deadly, t0.Add(time.Second)), "those with the fewest crashes are evicted")
	require.True(t, q.IsSuspected(numbered(3*maxEntries-1)))
	q.Expire(t0.Add(24 * time.Hour))
	require.Zero(t, q.Len())
}

func TestExpiredEvidenceOfPeerIsIgnored(t *testing.T) {
	q := New()
	require.False(t, q.Merge(deadly, mtsuspicion.Suspicion{
		Crashes: []mtsuspicion.Crash{{Process: 1, At: t0}},
	}, t0.Add(time.Hour)))
	require.Zero(t, q.Len())
}
