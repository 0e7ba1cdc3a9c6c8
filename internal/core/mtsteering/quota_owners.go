package mtsteering

// SelectQuotaOwners returns the instances that own the quotas of tenants: the first ones in the order of SelectReceivers,
// whatever the load. An owner that changes must let the leases of the one before end, so the set must not follow the number of
// receivers, the strain or the reach of an instance.
func SelectQuotaOwners(candidates []Candidate, count int) []Candidate {
	eligible := filterCandidates(candidates, func(c *Candidate) bool {
		return !c.Leaving && c.SinceHeartbeat <= heartbeatTimeout
	})
	for i, r := range eligible {
		eligible[i].negatedTier = -NominalTier(*r.Candidate)
	}
	var owners []Candidate
	for len(eligible) > 0 && len(owners) < count {
		selected := removeBest(&eligible)
		owners = append(owners, selected)
		for i, r := range eligible {
			eligible[i].selectedInCentre += countTrue(r.Centre == selected.Centre)
		}
	}
	return owners
}
