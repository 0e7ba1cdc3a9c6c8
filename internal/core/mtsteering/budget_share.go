package mtsteering

const (
	// receiverSavedSlack and receiverAccruedSlack are the fractions of the retry slack that are split evenly over the
	// receivers: how much they may save, and how much accrues to them in a window. The others are those of all instances
	// that are no receivers. Receivers whose messages are lost count themselves as receivers while others replace them,
	// so the sum is at most 1 with twice the receivers' fractions.
	receiverSavedSlack      = 0.2
	receiverAccruedSlack    = 0.2
	nonReceiverSavedSlack   = 0.1
	nonReceiverAccruedSlack = 0.1
	// receiverProbes and nonReceiverProbes are the same fractions for the budget of probes of an endpoint.
	receiverProbes    = 0.7
	nonReceiverProbes = 0.2
)

// BudgetShare is the fraction, from 0 to 1, of the budgets of all instances that one instance may use.
type BudgetShare struct {
	// SavedSlack is the fraction of the retry slack that the instance may save, and AccruedSlack the one that accrues to it
	// in each window.
	SavedSlack   float64
	AccruedSlack float64
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
			SavedSlack:   nonReceiverSavedSlack / known,
			AccruedSlack: nonReceiverAccruedSlack / known,
			Probes:       nonReceiverProbes / known,
		}
	}
	fraction := fleet.reachableFraction() / float64(max(1, fleet.Receivers))
	return BudgetShare{
		SavedSlack:   receiverSavedSlack * fraction,
		AccruedSlack: receiverAccruedSlack * fraction,
		Probes:       receiverProbes * fraction,
	}
}
