package mtsteering

const (
	// receiverRetrySlack and nonReceiverRetrySlack are the fractions of the retry slack that are split evenly over the
	// receivers and over the other instances; their sum is below 1 because the views of instances differ for short
	// times.
	receiverRetrySlack    = 0.5
	nonReceiverRetrySlack = 0.3
	// receiverProbes and nonReceiverProbes are the same fractions for the budget of probes of an endpoint.
	receiverProbes    = 0.7
	nonReceiverProbes = 0.2
)

// BudgetShare is the fraction, from 0 to 1, of the budgets of all instances that one instance may use.
type BudgetShare struct {
	// RetrySlack is the fraction of the retry slack.
	RetrySlack float64
	// Probes is the fraction of the probes of an endpoint.
	Probes float64
}

// FleetCounts counts the instances from the view of one of them, itself included.
type FleetCounts struct {
	// Receivers is the number of instances that callers are sent to.
	Receivers int
	// Reachable is the number of instances whose heartbeats arrive.
	Reachable int
	// Known is the number of all instances that have been discovered and have not left.
	Known int
}

func (f FleetCounts) knownOrReachable() int {
	return max(1, f.Known, f.Reachable)
}

// reachableFraction returns the fraction of the known instances that are reachable.
func (f FleetCounts) reachableFraction() float64 {
	return float64(max(1, f.Reachable)) / float64(f.knownOrReachable())
}

// BudgetShareOf returns the budget share of an instance.
//
// In a partition the instances select receivers on each side, and both sides count against the same budgets. The
// receivers of one side therefore share only the fraction that belongs to the instances of that side.
func BudgetShareOf(isReceiver bool, fleet FleetCounts) BudgetShare {
	if !isReceiver {
		known := float64(fleet.knownOrReachable())
		return BudgetShare{
			RetrySlack: nonReceiverRetrySlack / known,
			Probes:     nonReceiverProbes / known,
		}
	}
	fraction := fleet.reachableFraction() / float64(max(1, fleet.Receivers))
	return BudgetShare{
		RetrySlack: receiverRetrySlack * fraction,
		Probes:     receiverProbes * fraction,
	}
}
