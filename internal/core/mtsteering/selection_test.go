package mtsteering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newCandidates(count int) []Candidate {
	var candidates []Candidate
	for i := range count {
		candidates = append(candidates, Candidate{
			Name:        fmt.Sprintf("i%02d", i),
			Centre:      string(rune('a' + i/3)),
			Epoch:       uint64(100 + i),
			Cores:       0.32,
			RequestRate: 1,
			Ready:       true,
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

func TestTwoMostSeniorInstancesReceiveLightLoad(t *testing.T) {
	candidates := newCandidates(14)
	candidates[3].RequestRate = 100
	require.Equal(t, []string{"i00", "i03"}, names(SelectReceivers(candidates)),
		"the oldest instance, and the oldest of another data centre")
	require.Equal(t, []string{"i00", "i01"}, names(SelectReceivers(newCandidates(3))), "there is only one data centre")
}

// If both receivers were in one data centre, its loss would leave all callers without a receiver until others are
// selected.
func TestReceiversAreSpreadOverDataCentres(t *testing.T) {
	candidates := newCandidates(14)
	for i := range candidates {
		candidates[i].RequestRate = 90
	}
	receivers := SelectReceivers(candidates)
	require.Len(t, receivers, 10, "each serves 0.32 * 0.25 / 0.0006 = 133 requests a second")
	for i := range 2 {
		centres := map[string]bool{}
		for _, receiver := range receivers[5*i : 5*i+5] {
			centres[receiver.Centre] = true
		}
		require.Len(t, centres, 5, "every data centre has a receiver before any has another one")
	}
}

// After a restart of all instances, the callers that retry would overload two receivers before the load is known.
func TestUnknownLoadIsSpreadOverAllDataCentres(t *testing.T) {
	candidates := newCandidates(14)
	for i := range candidates {
		candidates[i].RequestRate = 0
	}
	require.Equal(t, []string{"i00", "i03", "i06", "i09", "i12"}, names(SelectReceivers(candidates)))
	candidates[3].RequestRate = 5
	require.Equal(t, []string{"i00", "i03"}, names(SelectReceivers(candidates)), "the load is known")
}

func TestCapacityTakesPrecedenceOverSpreadingDataCentres(t *testing.T) {
	candidates := newCandidates(6)
	candidates[0].Cores, candidates[1].Cores = 0.8, 0.8
	require.Equal(t, []string{"i00", "i01"}, names(SelectReceivers(candidates)))
}

func TestNumberOfReceiversGrowsWithLoad(t *testing.T) {
	candidates := newCandidates(14)
	candidates[3].RequestRate = 1000
	require.Len(t, SelectReceivers(candidates), 8, "each serves 0.32 * 0.25 / 0.0006 = 133 requests a second")
}

func TestLeavingSilentOrUnreadyInstanceReceivesNoCallers(t *testing.T) {
	candidates := newCandidates(5)
	candidates[0].Leaving = true
	candidates[1].SinceHeartbeat = heartbeatTimeout + 1
	candidates[2].Ready = false
	require.Equal(t, []string{"i03", "i04"}, names(SelectReceivers(candidates)))
}

func TestInstanceThatCannotReadStoreIsNoReader(t *testing.T) {
	candidates := newCandidates(3)
	candidates[0].StoreUnreachable = true
	require.NotContains(t, names(SelectReaders(candidates)), "i00")
	require.Contains(t, names(SelectReceivers(candidates)), "i00", "it gets what the others read")
}

func TestInstanceWithOldFeedDataIsSelectedLast(t *testing.T) {
	candidates := newCandidates(3)
	candidates[0].FeedAge = maxFeedAgeLag + time.Millisecond
	require.Equal(t, []string{"i01", "i02"}, names(SelectReceivers(candidates)))
}

// Instances detect an outage of the store one after the other. The receivers must not change with each detection, which
// would move callers to ever smaller instances that don't know the load of the endpoints.
func TestReceiversStayTheSameWhileStoreIsDown(t *testing.T) {
	candidates := newCandidates(14)
	for second := range 20 {
		for i := range candidates {
			candidates[i].FeedAge = time.Duration(second)*time.Second + time.Duration(i*100)*time.Millisecond
			candidates[i].StoreUnreachable = i < second
		}
		require.Equal(t, []string{"i00", "i03"}, names(SelectReceivers(candidates)))
	}
}

func TestReceiversAreSelectedWhenNoInstanceIsReady(t *testing.T) {
	candidates := newCandidates(2)
	candidates[0].Ready = false
	candidates[1].Ready = false
	require.Len(t, SelectReceivers(candidates), 2)
}

func TestInstanceOfHigherCapacityIsSelectedFirst(t *testing.T) {
	candidates := newCandidates(4)
	candidates[3].Cores = 0.8
	require.Equal(t, "i03", names(SelectReceivers(candidates))[0])
}

func TestReadersAreInDifferentDataCentres(t *testing.T) {
	require.Equal(t, []string{"i00", "i03"}, names(SelectReaders(newCandidates(14))))
	require.Equal(t, []string{"i00", "i01"}, names(SelectReaders(newCandidates(3))), "there is only one data centre")
	require.Len(t, SelectReaders(newCandidates(1)), 1)
}

func TestSilentReaderIsReplacedAfterHeartbeatTimeout(t *testing.T) {
	candidates := newCandidates(14)
	candidates[0].SinceHeartbeat = heartbeatTimeout + time.Millisecond
	require.NotContains(t, names(SelectReaders(candidates)), "i00")
}

func TestInstanceShortOfProcessorTimeIsSelectedLast(t *testing.T) {
	candidates := newCandidates(3)
	candidates[0].CPUStarved = true
	require.Equal(t, []string{"i01", "i02"}, names(SelectReceivers(candidates)))
}

// An answer of 90 KB is 0.72 megabits; a link of 10 Mbit/s carries four of them a second at 0.3 of its bandwidth.
func TestInstancesWithSlowLinksAreSelectedAfterThoseWithFastLinks(t *testing.T) {
	candidates := newCandidates(6)
	for i := range candidates {
		candidates[i].LinkMbps = 10
	}
	candidates[4].LinkMbps, candidates[5].LinkMbps = 200, 200
	candidates[0].RequestRate, candidates[0].TrafficMbps = 100, 72
	require.Equal(t, []string{"i04", "i05"}, names(SelectReceivers(candidates))[:2])
	candidates[0].RequestRate, candidates[0].TrafficMbps = 180, 130
	require.Greater(t, len(SelectReceivers(candidates)), 2, "two links of 200 Mbit/s carry 167 of them a second")
}

func TestSeniorityRankCountsReachableInstances(t *testing.T) {
	candidates := newCandidates(5)
	rank, reachable := SeniorityRank(candidates, "i03")
	require.Equal(t, []int{3, 5}, []int{rank, reachable})
	for i := range 3 {
		candidates[i].SinceHeartbeat = heartbeatTimeout + 1
	}
	rank, reachable = SeniorityRank(candidates, "i03")
	require.Equal(t, []int{0, 2}, []int{rank, reachable})
}

// Without the fallback, an instance that is partitioned from all others would send callers to itself alone, and serve
// them from outdated feed data and with the budgets of all instances.
func TestPartitionedInstanceSendsCallersToLastStableReceivers(t *testing.T) {
	selector := &ReceiverSelector{}
	candidates := newCandidates(14)
	now := time.Now()
	require.Equal(t, []string{"i00", "i03"}, names(selector.Select(candidates, "i09", now)))
	now = now.Add(minStableTime)
	selector.Select(candidates, "i09", now)
	// The instances go silent one after the other, those with a role first.
	for i := range candidates {
		if candidates[i].Name != "i09" {
			candidates[i].SinceHeartbeat = heartbeatTimeout + time.Second
		}
		now = now.Add(minStableTime / 14)
		selector.Select(candidates, "i09", now)
	}
	now = now.Add(time.Minute)
	require.Equal(t, []string{"i00", "i03", "i09"}, names(selector.Select(candidates, "i09", now)))
	candidates[5].SinceHeartbeat = 0
	require.Equal(t, []string{"i05", "i09"}, names(selector.Select(candidates, "i09", now)),
		"one reachable instance rules out the partition")
}

// In a restart of all, each instance first knows only of itself that it is ready. All must still select the same few
// receivers.
func TestInstancesThatRestartTogetherSelectSameReceivers(t *testing.T) {
	now := time.Now()
	for self := range 14 {
		candidates := newCandidates(14)
		for i := range candidates {
			candidates[i].Ready = i == self
		}
		selector := &ReceiverSelector{
			Started: now.Add(-assumeReadyTime + 1),
		}
		require.Equal(t, []string{"i00", "i03"}, names(selector.Select(candidates, candidates[self].Name, now)))
		later := selector.Select(candidates, candidates[self].Name, now.Add(1))
		require.Equal(t, []string{candidates[self].Name}, names(later), "others would have announced readiness by now")
	}
}

func TestLastRemainingInstanceReceivesCallers(t *testing.T) {
	selector := &ReceiverSelector{}
	candidates := newCandidates(2)
	now := time.Now()
	for range 2 {
		selector.Select(candidates, "i01", now)
		now = now.Add(minStableTime)
	}
	candidates[0].SinceHeartbeat = heartbeatTimeout + time.Second
	require.Equal(t, []string{"i01"}, names(selector.Select(candidates, "i01", now)),
		"of two instances, either may be the one that has failed")
	require.Equal(t, []string{"i01"}, names(selector.Select(candidates[1:], "i01", now)), "the others were removed")
}
