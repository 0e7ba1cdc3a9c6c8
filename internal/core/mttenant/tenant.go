package mttenant

// Tenant is a customer of the operator, whose requests carry one of its API keys.
type Tenant struct {
	Name string
	// Priority orders tenants by urgency; 0 is the most urgent. It applies if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the quota over all instances together; a rate of 0 means no limit.
	RatePerSecond float64
	Burst         float64

	weight float64
	label  string
}

// Weight is the tenant's part of what is scarce, relative to the weights of the other tenants.
func (t *Tenant) Weight() float64 {
	return t.weight
}

// Label is the name of the tenant in metrics, or a common one for all but the largest tenants.
func (t *Tenant) Label() string {
	return t.label
}

// IsLimited reports whether the tenant has a quota.
func (t *Tenant) IsLimited() bool {
	return t.RatePerSecond > 0
}
