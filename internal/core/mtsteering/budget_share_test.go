package mtsteering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// randomPartition returns the side of each instance in a random network partition.
func randomPartition(candidates []Candidate, random *rand.Rand) map[string]int {
	count := 1 + random.IntN(len(candidates))
	side := map[string]int{}
	for _, candidate := range candidates {
		side[candidate.Name] = random.IntN(count)
	}
	return side
}

// totalShares returns the sums of the budget shares of all instances when each reaches only some of the others. With
// removed set, unreachable instances have been silent for so long that they are no candidates any more.
func totalShares(
	candidates []Candidate, reaches func(observer, other string) bool, removed bool, now time.Time,
) (retrySlack, probes float64) {
	for _, observer := range candidates {
		var seen []Candidate
		reachable := 0
		for _, candidate := range candidates {
			if candidate.Name != observer.Name && !reaches(observer.Name, candidate.Name) {
				candidate.SinceHeartbeat = heartbeatTimeout + time.Second
				if removed {
					continue
				}
			} else {
				reachable++
			}
			seen = append(seen, candidate)
		}
		selector := &ReceiverSelector{}
		receivers := selector.Select(seen, observer.Name, now)
		share := BudgetShareOf(slices.Contains(names(receivers), observer.Name), FleetCounts{
			Receivers: len(receivers),
			Reachable: reachable,
			Known:     len(candidates),
		})
		retrySlack += share.SavedSlack + share.AccruedSlack
		probes += share.Probes
	}
	return retrySlack, probes
}

// The budgets of retries and of probes hold over all instances, also while a partition separates these.
func TestSharesNeverExceedBudgetsInPartitions(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			candidates := newCandidates(2 + random.IntN(140))
			side := randomPartition(candidates, random)
			reaches := func(observer, other string) bool {
				return side[observer] == side[other]
			}
			for _, removed := range []bool{false, true} {
				retrySlack, probes := totalShares(candidates, reaches, removed, time.Now())
				require.LessOrEqual(t, retrySlack, 1.0)
				require.LessOrEqual(t, probes, 1.0)
			}
		})
	}
}

func TestReceiversOfUnpartitionedFleetShareWholeReceiverFraction(t *testing.T) {
	candidates := newCandidates(14)
	retrySlack, probes := totalShares(candidates, func(string, string) bool { return true }, false, time.Now())
	require.InDelta(t, receiverSavedSlack+receiverAccruedSlack+12.0/14*(nonReceiverSavedSlack+nonReceiverAccruedSlack), retrySlack, 1e-9)
	require.InDelta(t, receiverProbes+12.0/14*nonReceiverProbes, probes, 1e-9)
}

// Receivers whose messages are lost, while they get those of the others, stay receivers in their own view; the others
// select others in their place.
func TestSharesStayWithinBudgetWhileMessagesOfReceiversAreLost(t *testing.T) {
	candidates := newCandidates(14)
	receivers := names(SelectReceivers(candidates))
	for _, unheard := range append([][]string{receivers}, receivers[:1], receivers[1:]) {
		reaches := func(_, other string) bool {
			return !slices.Contains(unheard, other)
		}
		retrySlack, _ := totalShares(candidates, reaches, false, time.Now())
		require.LessOrEqual(t, retrySlack, 1.0)
	}
}
