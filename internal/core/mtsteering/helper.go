package mtsteering

import "slices"

// SelectHelpers returns the instances that can serve requests for a service in place of an instance that reaches none
// of its endpoints: the receivers among those that reach them, since receivers are as many as the load needs, or all
// others if no receiver does. It excludes the instance itself and those that take no requests of others.
func SelectHelpers(candidates, receivers []Candidate, instance, service string) []Candidate {
	var helpers, helpingReceivers []Candidate
	for _, candidate := range candidates {
		if candidate.Name == instance || candidate.RelayAddress == "" || !candidate.Ready || candidate.Leaving ||
			candidate.SinceHeartbeat > heartbeatTimeout || slices.Contains(candidate.LostServices, service) {
			continue
		}
		helpers = append(helpers, candidate)
		if slices.ContainsFunc(receivers, func(receiver Candidate) bool {
			return receiver.Name == candidate.Name
		}) {
			helpingReceivers = append(helpingReceivers, candidate)
		}
	}
	if len(helpingReceivers) > 0 {
		return helpingReceivers
	}
	return helpers
}
