package mtsteer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleet(count int) []Candidate {
	var candidates []Candidate
	for i := range count {
		candidates = append(candidates, Candidate{
			Name:     fmt.Sprintf("i%02d", i),
			Centre:   string(rune('a' + i/3)),
			Epoch:    uint64(100 + i),
			Capacity: 0.32,
			Rate:     1,
			Ready:    true,
		})
	}
	return candidates
}

func names(candidates []Candidate) []string {
	var result []string
	for _, candidate := range candidates {
		result = append(result, candidate.Name)
	}
	return result
}

func TestTwoSeniorInstancesReceiveALightLoad(t *testing.T) {
	candidates := fleet(14)
	candidates[3].Rate = 100
	require.Equal(t, []string{"i00", "i03"}, names(Crew(candidates)), "the oldest, and the oldest of another data centre")
	require.Equal(t, []string{"i00", "i01"}, names(Crew(fleet(3))), "one data centre is all there is")
}

// Both receivers in one data centre would be lost with it, and all callers would wait until others are found.
func TestLossOfADataCentreLeavesAReceiver(t *testing.T) {
	candidates := fleet(14)
	for i := range candidates {
		candidates[i].Rate = 90
	}
	crew := Crew(candidates)
	require.Len(t, crew, 10, "each carries 0.32 * 0.25 / 0.0006 = 133 requests a second")
	for i := range 2 {
		centres := map[string]bool{}
		for _, member := range crew[5*i : 5*i+5] {
			centres[member.Centre] = true
		}
		require.Len(t, centres, 5, "each data centre once before any again")
	}
}

// Callers who come back after a restart of all would overwhelm two receivers before their number is known.
func TestUnknownLoadIsSharedByAllDataCentres(t *testing.T) {
	candidates := fleet(14)
	for i := range candidates {
		candidates[i].Rate = 0
	}
	require.Equal(t, []string{"i00", "i03", "i06", "i09", "i12"}, names(Crew(candidates)))
	candidates[3].Rate = 5
	require.Equal(t, []string{"i00", "i03"}, names(Crew(candidates)), "the load is known")
}

func TestStrongerInstanceOfTheSameCentreIsTakenBeforeAWeakerOneElsewhere(t *testing.T) {
	candidates := fleet(6)
	candidates[0].Capacity, candidates[1].Capacity = 0.8, 0.8
	require.Equal(t, []string{"i00", "i01"}, names(Crew(candidates)))
}

func TestCrewGrowsWithTheLoad(t *testing.T) {
	candidates := fleet(14)
	candidates[3].Rate = 1000
	require.Len(t, Crew(candidates), 8, "each carries 0.32 * 0.25 / 0.0006 = 133 requests a second")
}

func TestInstanceThatLeavesIsSilentOrNotReadyReceivesNoCallers(t *testing.T) {
	candidates := fleet(5)
	candidates[0].Leaving = true
	candidates[1].Silence = silenceLimit + 1
	candidates[2].Ready = false
	require.Equal(t, []string{"i03", "i04"}, names(Crew(candidates)))
}

func TestInstanceCutFromTheStoreReadsForNobody(t *testing.T) {
	candidates := fleet(3)
	candidates[0].Cut = true
	require.NotContains(t, names(Readers(candidates)), "i00")
	require.Contains(t, names(Crew(candidates)), "i00", "it hears from the others what they read")
}

func TestInstanceWithOldNewsIsTakenLast(t *testing.T) {
	candidates := fleet(3)
	candidates[0].Age = staleMore + time.Millisecond
	require.Equal(t, []string{"i01", "i02"}, names(Crew(candidates)))
}

// While the store is down, instances notice it one after the other. Callers must not be sent around after that, to ever smaller
// instances that know nothing of the endpoints' load.
func TestCrewStaysWhileTheStoreIsDown(t *testing.T) {
	candidates := fleet(14)
	for second := range 20 {
		for i := range candidates {
			candidates[i].Age = time.Duration(second)*time.Second + time.Duration(i*100)*time.Millisecond
			candidates[i].Cut = i < second
		}
		require.Equal(t, []string{"i00", "i03"}, names(Crew(candidates)))
	}
}

func TestCallersAreSentSomewhereWhenNobodyIsReady(t *testing.T) {
	candidates := fleet(2)
	candidates[0].Ready = false
	candidates[1].Ready = false
	require.Len(t, Crew(candidates), 2)
}

func TestLargerInstancesReceiveFirst(t *testing.T) {
	candidates := fleet(4)
	candidates[3].Capacity = 0.8
	require.Equal(t, "i03", names(Crew(candidates))[0])
}

func TestReadersStandInDifferentCentres(t *testing.T) {
	require.Equal(t, []string{"i00", "i03"}, names(Readers(fleet(14))))
	require.Equal(t, []string{"i00", "i01"}, names(Readers(fleet(3))), "one centre is all there is")
	require.Len(t, Readers(fleet(1)), 1)
}

func TestSilentReaderIsReplacedWithinItsDetectionTime(t *testing.T) {
	candidates := fleet(14)
	candidates[0].Silence = silenceLimit + time.Millisecond
	require.NotContains(t, names(Readers(candidates)), "i00")
}

func TestInstanceWithoutProcessorTimeIsTakenLast(t *testing.T) {
	candidates := fleet(3)
	candidates[0].Strained = true
	require.Equal(t, []string{"i01", "i02"}, names(Crew(candidates)))
}

// An answer of 90 KB is 0.72 megabits; a link of 10 Mbit/s carries four of them a second at 0.3 of its bandwidth.
func TestNarrowLinksReceiveNoLoadThatWideOnesCarry(t *testing.T) {
	candidates := fleet(6)
	for i := range candidates {
		candidates[i].Link = 10
	}
	candidates[4].Link, candidates[5].Link = 200, 200
	candidates[0].Rate, candidates[0].Traffic = 100, 72
	require.Equal(t, []string{"i04", "i05"}, names(Crew(candidates))[:2])
	candidates[0].Rate, candidates[0].Traffic = 180, 130
	require.Greater(t, len(Crew(candidates)), 2, "two links of 200 carry 167 of them")
}

func TestPlaceCountsThoseThatAreHeard(t *testing.T) {
	candidates := fleet(5)
	rank, known := Place(candidates, "i03")
	require.Equal(t, []int{3, 5}, []int{rank, known})
	for i := range 3 {
		candidates[i].Silence = silenceLimit + 1
	}
	rank, known = Place(candidates, "i03")
	require.Equal(t, []int{0, 2}, []int{rank, known})
}

// An instance that is cut off from all others would send callers to itself alone, with old news and the budgets of all.
func TestInstanceThatHearsNobodySendsCallersWhereItDidBefore(t *testing.T) {
	crews := &Crews{}
	candidates := fleet(14)
	now := time.Now()
	require.Equal(t, []string{"i00", "i03"}, names(crews.Choose(candidates, "i09", now)))
	now = now.Add(settleTime)
	crews.Choose(candidates, "i09", now)
	// The instances fall silent one after the other, those with a role first.
	for i := range candidates {
		if candidates[i].Name != "i09" {
			candidates[i].Silence = silenceLimit + time.Second
		}
		now = now.Add(settleTime / 14)
		crews.Choose(candidates, "i09", now)
	}
	now = now.Add(time.Minute)
	require.Equal(t, []string{"i00", "i03", "i09"}, names(crews.Choose(candidates, "i09", now)))
	candidates[5].Silence = 0
	require.Equal(t, []string{"i05", "i09"}, names(crews.Choose(candidates, "i09", now)), "one that is heard can tell")
}

// In a restart of all, each instance knows first of itself that it can serve. All of them must send callers to the same few.
func TestInstancesThatRestartTogetherNameTheSameReceivers(t *testing.T) {
	now := time.Now()
	for self := range 14 {
		candidates := fleet(14)
		for i := range candidates {
			candidates[i].Ready = i == self
		}
		crews := &Crews{
			Started: now.Add(-readyTime + 1),
		}
		require.Equal(t, []string{"i00", "i03"}, names(crews.Choose(candidates, candidates[self].Name, now)))
		later := crews.Choose(candidates, candidates[self].Name, now.Add(1))
		require.Equal(t, []string{candidates[self].Name}, names(later), "by now the others would have said that they can serve")
	}
}

func TestInstanceThatIsTheLastReceivesCallers(t *testing.T) {
	crews := &Crews{}
	candidates := fleet(2)
	now := time.Now()
	for range 2 {
		crews.Choose(candidates, "i01", now)
		now = now.Add(settleTime)
	}
	candidates[0].Silence = silenceLimit + time.Second
	require.Equal(t, []string{"i01"}, names(crews.Choose(candidates, "i01", now)), "of two, each may be the one that is lost")
	require.Equal(t, []string{"i01"}, names(crews.Choose(candidates[1:], "i01", now)), "the others were removed")
}
