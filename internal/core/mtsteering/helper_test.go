package mtsteering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newRelayingCandidates returns candidates that take requests of other instances.
func newRelayingCandidates(count int) []Candidate {
	candidates := newCandidates(count)
	for i := range candidates {
		candidates[i].RelayAddress = candidates[i].Name + ":1"
	}
	return candidates
}

func TestHelpersAreReceiversThatReachTheService(t *testing.T) {
	candidates := newRelayingCandidates(5)
	candidates[1].LostServices = []string{"menu"}
	receivers := candidates[:3]
	require.Equal(t, []string{"i02"}, names(SelectHelpers(candidates, receivers, "i00", "menu")))
	require.Equal(t, []string{"i01", "i02"}, names(SelectHelpers(candidates, receivers, "i00", "pay")))
}

// A whole data centre with all receivers is cut.
func TestAllOthersHelpIfNoReceiverDoes(t *testing.T) {
	candidates := newRelayingCandidates(5)
	for i := range 2 {
		candidates[i].LostServices = []string{"menu"}
	}
	require.Equal(t, []string{"i02", "i03", "i04"}, names(SelectHelpers(candidates, candidates[:2], "i00", "menu")))
}

func TestUnsuitableInstancesDoNotHelp(t *testing.T) {
	for name, change := range map[string]func(candidate *Candidate){
		"old build": func(candidate *Candidate) { candidate.RelayAddress = "" },
		"leaving":   func(candidate *Candidate) { candidate.Leaving = true },
		"not ready": func(candidate *Candidate) { candidate.Ready = false },
		"silent":    func(candidate *Candidate) { candidate.SinceHeartbeat = heartbeatTimeout + time.Millisecond },
		"cut, too":  func(candidate *Candidate) { candidate.LostServices = []string{"menu"} },
		"itself":    func(candidate *Candidate) { candidate.Name = "i00" },
	} {
		candidates := newRelayingCandidates(2)
		require.Len(t, SelectHelpers(candidates, nil, "i00", "menu"), 1)
		change(&candidates[1])
		require.Empty(t, SelectHelpers(candidates, nil, "i00", "menu"), name)
	}
}

// Callers are no longer sent to an instance that reaches no endpoint of a service, unless none does.
func TestInstanceThatLostAServiceIsNoReceiver(t *testing.T) {
	candidates := newRelayingCandidates(6)
	candidates[0].LostServices = []string{"menu"}
	require.NotContains(t, names(SelectReceivers(candidates)), "i00")
	for i := range candidates {
		candidates[i].LostServices = []string{"menu"}
	}
	require.Contains(t, names(SelectReceivers(candidates)), "i00")
}
