package mtplacer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func newTestPlacer(targets ...*Target) *Placer {
	placer := NewPlacer("a", rand.New(rand.NewPCG(1, 2)))
	placer.SetTargets(targets)
	return placer
}

func newTarget(id string, slots int) *Target {
	return &Target{
		ID:     id,
		Centre: "a",
		Slots:  slots,
	}
}

func (t *Target) withReport(running int, pace float64, now time.Time) *Target {
	t.observe(Report{
		Running: running,
		Slots:   t.Slots,
		Pace:    pace,
	}, now)
	return t
}

func newRequest(id uint64, now time.Time) *Request {
	return &Request{
		ID:        id,
		Route:     "r",
		Arrived:   now,
		Objective: now.Add(300 * time.Millisecond),
		Deadline:  now.Add(2500 * time.Millisecond),
	}
}

func TestFreshFiguresNeedNoLook(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2).withReport(0, 1, t0))
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	binding := placer.Bind(t0)
	grants, looks := binding.Grants, binding.Looks
	require.Len(t, grants, 1)
	require.Empty(t, looks)
}

func TestStaleFiguresAreLookedUpFirst(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2), newTarget("two", 2), newTarget("three", 2), newTarget("four", 2))
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	binding := placer.Bind(t0)
	grants, looks, wake := binding.Grants, binding.Looks, binding.Wake
	require.Empty(t, grants)
	require.Len(t, looks, lookWidth)
	require.Equal(t, t0.Add(lookWait), wake)
	later := t0.Add(2 * time.Millisecond)
	placer.Observe(looks[0], Report{
		Pace: siteNoise,
	}, later)
	placer.Observe(looks[1], Report{
		Pace: 1,
	}, later)
	grants = placer.Bind(later).Grants
	require.Len(t, grants, 1)
	require.Same(t, looks[1], grants[0].Target, "the host that is not slow")
}

// Figures age by what a change of the host's speed would cost the request.
func TestFiguresAgeWithWhatTheyAreWorth(t *testing.T) {
	const work = 120 * time.Millisecond
	for name, c := range map[string]struct {
		work     time.Duration
		pace     float64
		mean     float64
		age      time.Duration
		expected bool
	}{
		"long work, host may have become slow": {work, 1, 2, 20 * time.Millisecond, false},
		"of the same round of looks":           {work, 1, 2, lookLeast, true},
		"short work":                           {time.Millisecond, 1, 2, 20 * time.Millisecond, true},
		"hosts are even":                       {work, 1, 1, 20 * time.Millisecond, true},
		"too old for all":                      {time.Millisecond, 1, 1, lookFresh + 1, false},
		"slowness not told":                    {work, 0, 2, 20 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			target := newTarget("one", 2)
			target.observe(Report{
				Pace: c.pace,
			}, t0)
			now := t0.Add(c.age)
			pace := target.paceNow(c.mean, now)
			require.Equal(t, c.expected, isFresh(option{
				target:   target,
				pace:     pace,
				expected: time.Duration(float64(c.work) * pace),
			}, now))
		})
	}
}

// An instance that callers are not sent to gets a request now and then; a look for each would open a connection.
func TestWithoutLooksRequestsArePlacedAtOnce(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2), newTarget("two", 2))
	placer.SetLooks(0)
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	binding := placer.Bind(t0)
	require.Len(t, binding.Grants, 1)
	require.Empty(t, binding.Looks)
}

func TestEndpointThatLeavesALookUnansweredIsPassedOver(t *testing.T) {
	mute, other := newTarget("mute", 2), newTarget("other", 2)
	placer := newTestPlacer(mute, other)
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	looks := placer.Bind(t0).Looks
	require.Len(t, looks, 2)
	now := t0.Add(lookWait)
	placer.Observe(other, Report{
		Running: 1,
		Pace:    1,
	}, now)
	grants := placer.Bind(now).Grants
	require.Len(t, grants, 1)
	require.Same(t, other, grants[0].Target)
	placer.Unseen(mute, now)
	require.True(t, mute.IsEjected(now))
}

func TestRequestIsPlacedWhenNoLookIsAnswered(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2))
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	now := t0
	for range 20 {
		binding := placer.Bind(now)
		grants, wake := binding.Grants, binding.Wake
		if len(grants) > 0 {
			require.LessOrEqual(t, now.Sub(t0), lookMost+lookWait)
			return
		}
		require.False(t, wake.IsZero())
		now = wake
	}
	t.Fatal("the request was never placed")
}

func TestRequestWaitsForABetterHostButNotForEver(t *testing.T) {
	target := newTarget("one", 2).withReport(0, siteNoise, t0)
	placer := newTestPlacer(target)
	request := newRequest(1, t0)
	request.Objective = t0.Add(2 * time.Second)
	request.Deadline = t0.Add(20 * time.Second)
	require.Nil(t, placer.Offer(request, t0))
	// In the mean hosts are of the usual speed, so this one is slow.
	placer.pace.value = 1
	now := t0
	for now.Sub(t0) < holdMost {
		binding := placer.Bind(now)
		grants, looks, wake := binding.Grants, binding.Looks, binding.Wake
		require.Empty(t, grants)
		for _, look := range looks {
			placer.Observe(look, Report{
				Pace: siteNoise,
			}, now)
		}
		require.True(t, wake.After(now))
		now = wake
	}
	placer.Observe(target, Report{
		Pace: siteNoise,
	}, now.Add(lookAgain))
	grants := placer.Bind(now.Add(lookAgain)).Grants
	require.Len(t, grants, 1, "a host that stays slow is used in the end")
}

func TestRequestThatCannotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 1).withReport(0, 1, t0))
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	grants := placer.Bind(t0).Grants
	placer.End(grants[0], "r", Result{
		Verdict: Served,
		Took:    120 * time.Millisecond,
	}, t0)
	var refusal *Refusal
	for id := uint64(2); id < 20 && refusal == nil; id++ {
		refusal = placer.Offer(newRequest(id, t0), t0)
	}
	require.NotNil(t, refusal)
	require.Equal(t, Overload, refusal.Reason)
	require.LessOrEqual(t, placer.Len(), 3, "one slot serves two or three requests of 120 ms in 300 ms")
	require.GreaterOrEqual(t, refusal.After, returnSoonest)
	require.LessOrEqual(t, refusal.After, 2500*time.Millisecond/3)
}

func TestServiceWithoutEndpointsRefuses(t *testing.T) {
	draining := newTarget("one", 2).withReport(0, 1, t0)
	draining.Draining = true
	placer := newTestPlacer(draining)
	require.Equal(t, NoEndpoint, placer.Offer(newRequest(1, t0), t0).Reason)
}

func TestDrainingEndpointGetsNothing(t *testing.T) {
	leaving, staying := newTarget("leaving", 2).withReport(0, 1, t0), newTarget("staying", 2).withReport(0, 1, t0)
	placer := newTestPlacer(leaving, staying)
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	leaving.Draining = true
	grants := placer.Bind(t0).Grants
	require.Len(t, grants, 1)
	require.Same(t, staying, grants[0].Target)
}

func TestMoreUrgentRequestsGoFirstAndLateOnesLast(t *testing.T) {
	urgent, plain, late := newRequest(1, t0), newRequest(2, t0), newRequest(3, t0)
	urgent.Priority = 1
	plain.Priority = 2
	late.Priority = 0
	late.late = true
	require.Negative(t, compare(urgent, plain))
	require.Negative(t, compare(plain, late))
	require.Positive(t, compare(late, plain))
}

func TestAttemptAvoidsTheEndpointsBefore(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2).withReport(0, 1, t0), newTarget("two", 2).withReport(1, 1, t0))
	request := newRequest(1, t0)
	request.Avoid = []string{"one"}
	require.Nil(t, placer.Offer(request, t0))
	grants := placer.Bind(t0).Grants
	require.Equal(t, "two", grants[0].Target.ID)
}

func TestExtraAttemptNeedsASpareSlot(t *testing.T) {
	busy := newTarget("one", 2).withReport(2, 1, t0)
	placer := newTestPlacer(busy)
	request := newRequest(1, t0)
	request.Spare = true
	require.Equal(t, NoSpare, placer.Offer(request, t0).Reason)
}

func TestCancelTakesAWaitingRequestOut(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2))
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	require.True(t, placer.Cancel(1))
	require.False(t, placer.Cancel(1))
	require.Zero(t, placer.Len())
}

func TestFailuresInARowEjectAnEndpointAndSuccessBringsItBack(t *testing.T) {
	target := newTarget("one", 2)
	for range failuresToEject {
		target.start()
		target.end(Result{
			Verdict: Failed,
		}, t0)
	}
	require.True(t, target.IsEjected(t0))
	require.False(t, target.IsEjected(t0.Add(ejectionFirst)))
	target.start()
	target.end(Result{
		Verdict: Served,
	}, t0)
	require.False(t, target.IsEjected(t0))
}

func TestWholePoolIsNeverEjected(t *testing.T) {
	one, two := newTarget("one", 2), newTarget("two", 2)
	placer := newTestPlacer(one, two)
	for _, target := range placer.Targets() {
		for range failuresToEject {
			target.start()
			target.end(Result{
				Verdict: Failed,
			}, t0)
		}
	}
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
}

func TestCurveLearnsHowManyRequestsPay(t *testing.T) {
	steep, flat := newCurve(), newCurve()
	for range 10 * trusted {
		for level := 2; level <= 6; level++ {
			steep.learn(level, 1+float64(max(0, level-4)))
			flat.learn(level, 1)
		}
	}
	require.Equal(t, 4, steep.best(6))
	require.Equal(t, 6, flat.best(6))
	require.Equal(t, 1, newCurve().best(1))
}

func TestOthersAtAnEndpointAreForgottenWithTheAgeOfTheReport(t *testing.T) {
	target := newTarget("one", 6).withReport(4, 1, t0)
	require.Equal(t, 4, target.level(t0))
	require.Equal(t, 2, target.level(t0.Add(othersHalfLife)))
	require.Equal(t, 0, target.level(t0.Add(10*othersHalfLife)))
}

// An instance that has just started has seen no answer, and must not take in all that comes.
func TestRequestsAreRefusedBeforeTheFirstAnswerToo(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2).withReport(0, 1, t0))
	admitted := 0
	for id := uint64(1); id <= 30; id++ {
		if placer.Offer(newRequest(id, t0), t0) == nil {
			admitted++
		}
		placer.Bind(t0)
	}
	require.LessOrEqual(t, admitted, 2+2*2, "two slots, and two turns of 120 ms each within 300 ms")
}

// Bytes between data centres are paid for, so a large answer comes from the own one while that has room.
func TestLargeAnswersComeFromTheOwnDataCentre(t *testing.T) {
	near, far := newTarget("near", 4), newTarget("far", 4)
	far.Centre = "b"
	placer := newTestPlacer(near, far)
	now := t0
	for range 200 {
		now = now.Add(time.Second)
		near.withReport(2, 1, now)
		far.withReport(0, 1, now)
		require.Nil(t, placer.Offer(newRequest(uint64(now.Unix()), now), now))
		for _, grant := range placer.Bind(now).Grants {
			placer.End(grant, "r", Result{
				Verdict: Served,
				Took:    120 * time.Millisecond,
				Size:    90_000,
			}, now)
			if now.Sub(t0) > 100*time.Second {
				require.Same(t, near, grant.Target)
			}
		}
	}
}

// A large pool has endpoints with room in each data centre, so the bytes of most requests can stay in their own.
func TestLargePoolIsUsedNearby(t *testing.T) {
	var targets []*Target
	for n := range 200 {
		target := newTarget(fmt.Sprintf("%03d", n), 2)
		target.Centre = []string{"own", "b", "c", "d"}[n%4]
		targets = append(targets, target)
	}
	placer := NewPlacer("own", rand.New(rand.NewPCG(1, 1)))
	placer.SetTargets(targets)
	near := 0
	for range 100 {
		for _, target := range placer.sample(t0) {
			if target.Centre == "own" {
				near++
			}
		}
	}
	require.Equal(t, 100*nearWidth, near)
	for _, target := range targets {
		target.Draining = target.Centre == "own"
	}
	require.Len(t, placer.sample(t0), sampleWidth, "others take their place when the own ones are gone")
}

func TestLargePoolIsUsedEvenly(t *testing.T) {
	var targets []*Target
	for i := range 300 {
		targets = append(targets, newTarget(string(rune(0x4e00+i)), 2).withReport(0, 1, t0))
	}
	placer := newTestPlacer(targets...)
	for id := uint64(1); id <= 150; id++ {
		require.Nil(t, placer.Offer(newRequest(id, t0), t0))
		require.Len(t, placer.Bind(t0).Grants, 1)
	}
	for _, target := range targets {
		require.LessOrEqual(t, target.Inflight(), 1, "with half as many requests as endpoints no endpoint needs two")
	}
}

// Watching an endpoint must never cost more than its budget, however many requests want to know.
func TestLooksAtAnEndpointStayWithinTheirBudget(t *testing.T) {
	placer := newTestPlacer(newTarget("one", 2))
	placer.SetLooks(10)
	looks := 0
	now := t0
	const span = 60
	for now.Before(t0.Add(span * time.Second)) {
		now = now.Add(10 * time.Millisecond)
		request := newRequest(uint64(now.UnixNano()), now)
		placer.Offer(request, now)
		binding := placer.Bind(now)
		for _, target := range binding.Looks {
			looks++
			placer.Observe(target, Report{
				Pace: siteNoise,
			}, now)
		}
		for _, grant := range binding.Grants {
			placer.End(grant, "r", Result{
				Verdict: Abandoned,
			}, now)
		}
		placer.Cancel(request.ID)
	}
	require.LessOrEqual(t, looks, 10*span+40, "ten a second, and what may be saved up in four seconds")
	require.GreaterOrEqual(t, looks, 10*span/2)
}

// A route's first answers tell more than the guess from its objective; second attempts and refusals go by the estimate.
func TestGuessOfWorkYieldsToTheFirstAnswers(t *testing.T) {
	work := newWork(10 * time.Second)
	for range 9 {
		work.learn(10 * time.Millisecond)
	}
	require.Less(t, work.value(), 500*time.Millisecond)
	for range 200 {
		work.learn(10 * time.Millisecond)
	}
	work.learn(110 * time.Millisecond)
	require.InDelta(t, 15, work.value().Milliseconds(), 1, "later ones change it slowly")
}

// occupied returns a placer whose only endpoint has one slot, with a request that has it.
func occupied(now time.Time) (*Placer, Grant) {
	placer := newTestPlacer(newTarget("one", 1).withReport(0, 1, now))
	placer.SetLooks(0)
	_ = placer.Offer(newRequest(1000, now), now)
	return placer, placer.Bind(now).Grants[0]
}

// An endpoint that hangs brings no event; the requests that wait for it are told while their callers have time to go elsewhere.
func TestWaitingRequestIsGivenUpWithoutAnyEvent(t *testing.T) {
	placer, _ := occupied(t0)
	request := newRequest(1, t0)
	require.Nil(t, placer.Offer(request, t0))
	now := t0
	for range 2 {
		wake := placer.Bind(now).Wake
		require.True(t, wake.After(now), "once when it can't be on time, and once when it has waited for long enough")
		now = wake
	}
	drops := placer.Bind(now).Drops
	require.Len(t, drops, 1)
	require.Equal(t, request.ID, drops[0].ID)
	require.False(t, now.After(request.Objective.Add(request.Deadline.Sub(t0)/3)))
}

// lateRequest returns a request whose objective has passed.
func lateRequest(id uint64, now time.Time) *Request {
	request := newRequest(id, now)
	request.Objective = now
	return request
}

// A slot may be left over when a late request comes, and none later: newcomers take them all. The request must not wait for its
// deadline, at which nobody can help its caller any more.
func TestLateRequestIsGivenUpWhenNothingIsLeftOver(t *testing.T) {
	targets := make([]*Target, 20)
	for i := range targets {
		targets[i] = newTarget(fmt.Sprintf("e%02d", i), 1).withReport(0, 1, t0)
	}
	placer := newTestPlacer(targets...)
	placer.SetLooks(0)
	for id := range uint64(20) {
		require.Nil(t, placer.Offer(newRequest(1000+id, t0), t0))
	}
	require.Len(t, placer.Bind(t0).Grants, 20)
	late := lateRequest(1, t0)
	require.Nil(t, placer.Offer(late, t0), "a slot is soon left over while all others find room")
	for id := uint64(2); placer.turned.value < strained; id++ {
		_ = placer.Offer(newRequest(id, t0), t0)
	}
	drops := placer.Bind(t0).Drops
	require.Len(t, drops, 1)
	require.Equal(t, late.ID, drops[0].ID)
	require.Equal(t, Overload, drops[0].Refusal.Reason)
}

// Newcomers may take every slot although all of them find room; a late request is told so while its caller has time to come back.
func TestLateRequestDoesNotWaitForLong(t *testing.T) {
	placer, _ := occupied(t0)
	late := lateRequest(1, t0)
	require.Nil(t, placer.Offer(late, t0))
	wake := placer.Bind(t0).Wake
	require.False(t, wake.IsZero())
	require.False(t, wake.After(t0.Add(late.Deadline.Sub(t0)/3)))
	require.Len(t, placer.Bind(wake).Drops, 1)
}

// The endpoints of some services never tell their load, and a look takes a slot there. They must be neither asked again nor passed
// over for it.
func TestServiceThatTellsNoFiguresIsNotAsked(t *testing.T) {
	targets := []*Target{newTarget("one", 2), newTarget("two", 2), newTarget("three", 2)}
	placer := newTestPlacer(targets...)
	now := t0
	looks := 0
	for id := uint64(1); id <= 20; id++ {
		now = now.Add(100 * time.Millisecond)
		require.Nil(t, placer.Offer(newRequest(id, now), now))
		binding := placer.Bind(now)
		for len(binding.Looks) > 0 {
			for _, target := range binding.Looks {
				looks++
				placer.Untold(target, now)
			}
			binding = placer.Bind(now)
		}
		grants := binding.Grants
		require.Len(t, grants, 1, "an answer without figures is an answer")
		placer.End(grants[0], "r", Result{
			Verdict: Served,
			Took:    10 * time.Millisecond,
		}, now)
		placer.Untold(grants[0].Target, now)
	}
	require.LessOrEqual(t, looks, untoldLeast+lookWidth)
	for _, target := range targets {
		require.False(t, target.IsEjected(now))
	}
}

func TestServiceThatTellsFiguresLaterIsAskedAgain(t *testing.T) {
	target := newTarget("one", 2)
	placer := newTestPlacer(target)
	for range untoldLeast {
		placer.Untold(target, t0)
	}
	require.False(t, placer.canLook())
	placer.Observe(target, Report{
		Slots: 2,
	}, t0)
	require.True(t, placer.canLook())
}

// Where others tell theirs, an endpoint that answers a look without figures does not serve as it should.
func TestEndpointWithoutFiguresAmongOthersIsPassedOver(t *testing.T) {
	one, two := newTarget("one", 2).withReport(0, 1, t0), newTarget("two", 2)
	placer := newTestPlacer(one, two)
	placer.Observe(one, Report{
		Slots: 2,
	}, t0)
	two.looking = true
	placer.Untold(two, t0)
	require.True(t, two.IsEjected(t0))
	require.True(t, placer.canLook())
}
