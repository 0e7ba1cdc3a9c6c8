package mtquotas

import "time"

// Usage is the use of the quota of one tenant.
type Usage struct {
	Tenant string
	// Rate is the limit in requests per second.
	Rate float64
	// Share is the share that this instance holds.
	Share float64
	// IsOwned is set if this instance owns the quota; the fields that follow are zero otherwise.
	IsOwned bool
	// Demand is what all holders report, in requests per second, and Leased the sum of their shares.
	Demand  float64
	Leased  float64
	Holders int
}

// Usage returns the use of the quotas that this instance holds or owns.
func (q *Quotas) Usage(now time.Time) []Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var usage []Usage
	for tenant, number := range q.tenants.byName {
		held, ledger := q.holders[tenant], q.ledgers[tenant]
		if held == nil && ledger == nil {
			continue
		}
		use := Usage{
			Tenant: tenant,
			Rate:   q.tenants.byNumber[number].limit.Rate,
		}
		if held != nil {
			use.Share = held.holder.Share(now)
		}
		if ledger != nil && q.view.Owner(tenant) == q.instance {
			use.IsOwned = true
			use.Demand, use.Leased, use.Holders = ledger.Demand(now), ledger.Leased(now), ledger.Holders(now)
		}
		usage = append(usage, use)
	}
	return usage
}

// Owners returns the names of the instances that own quotas, and the part of the fleet that this instance reaches.
func (q *Quotas) Owners() (names []string, part float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.view.Owners()
}
