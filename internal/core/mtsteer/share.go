package mtsteer

const (
	// receiverSlack and otherSlack are the parts of the retry slack that the instances that callers are sent to, and the others,
	// share evenly; they add up to less than one, because views differ for moments.
	receiverSlack = 0.5
	otherSlack    = 0.3
	// receiverLooks and otherLooks are the same for the budget of looks at an endpoint.
	receiverLooks = 0.7
	otherLooks    = 0.2
)

// Share is the part of the budgets of all instances that one of them may use, from 0 to 1.
type Share struct {
	Slack float64
	Looks float64
}

// Fleet is the number of instances as one of them sees it, itself included.
type Fleet struct {
	// Receivers is the number of those that callers are sent to.
	Receivers int
	// Heard is the number of those that are heard at present.
	Heard int
	// Known is the number of all that were heard of and have not left.
	Known int
}

// ShareOf returns the share of an instance.
//
// Instances that lose each other choose receivers on each side of the cut, and both sides count against the same budgets. So the
// receivers of one side share what belongs to the instances on it.
func ShareOf(isReceiver bool, fleet Fleet) Share {
	known := float64(max(1, fleet.Known, fleet.Heard))
	if !isReceiver {
		return Share{
			Slack: otherSlack / known,
			Looks: otherLooks / known,
		}
	}
	part := float64(max(1, fleet.Heard)) / known / float64(max(1, fleet.Receivers))
	return Share{
		Slack: receiverSlack * part,
		Looks: receiverLooks * part,
	}
}
