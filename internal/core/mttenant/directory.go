// The load pattern: each request looks up one of some hundred thousand keys, which change with the configuration.

package mttenant

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	// maxNameBytes bounds the name of a tenant, which is sent in a header.
	maxNameBytes = 256
	// maxLabelledTenants is the number of tenants that metrics tell apart.
	maxLabelledTenants = 20
	// otherTenantsLabel stands for all other tenants in metrics.
	otherTenantsLabel = "other"
)

// keyHash is the hash of a key.
type keyHash [sha256.Size]byte

// Directory holds the tenants of one configuration by key and by name. It is immutable.
type Directory struct {
	// byKeyHash has hashes, so that neither a memory dump nor the time of a comparison tells a key.
	byKeyHash map[keyHash]*Tenant
	byName    map[string]*Tenant
	// meanWeight is the mean limit of the tenants that have one.
	meanWeight float64
}

// Registration is a tenant with its keys, as a configuration lists it.
type Registration struct {
	Tenant Tenant
	Keys   []string
}

var (
	errNoName      = errors.New("tenant without a name")
	errInvalidName = errors.New("name can't be sent in a header")
	errSharedKey   = errors.New("key of another tenant")
)

// NewDirectory returns a directory of tenants, or an error that names the tenant and never the key.
func NewDirectory(registrations []Registration) (*Directory, error) {
	directory := &Directory{
		byKeyHash: map[keyHash]*Tenant{},
		byName:    make(map[string]*Tenant, len(registrations)),
	}
	for i, registration := range registrations {
		tenant := registration.Tenant
		if tenant.Name == "" {
			return nil, fmt.Errorf("tenant %d: %w", i, errNoName)
		}
		if !isHeaderValue(tenant.Name) {
			return nil, fmt.Errorf("tenant %.64q: %w", tenant.Name, errInvalidName)
		}
		if directory.byName[tenant.Name] != nil {
			return nil, fmt.Errorf("tenant %q is listed twice", tenant.Name)
		}
		directory.byName[tenant.Name] = &tenant
		for _, key := range registration.Keys {
			hash := keyHash(sha256.Sum256([]byte(key)))
			if holder := directory.byKeyHash[hash]; holder != nil && holder != &tenant {
				return nil, fmt.Errorf("tenant %q: %w", tenant.Name, errSharedKey)
			}
			directory.byKeyHash[hash] = &tenant
		}
	}
	directory.setWeights()
	directory.setLabels()
	return directory, nil
}

// isHeaderValue reports whether a name reaches the recipient of a header unchanged.
func isHeaderValue(name string) bool {
	isControl := func(character rune) bool {
		return character < ' ' || character == '\x7f'
	}
	return len(name) <= maxNameBytes && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, isControl)
}

// setWeights gives each tenant its limit as its weight, and a tenant without a limit the mean of the others.
func (d *Directory) setWeights() {
	sum, count := 0.0, 0
	for _, tenant := range d.byName {
		if tenant.IsLimited() {
			sum += tenant.RatePerSecond
			count++
		}
	}
	d.meanWeight = 1
	if count > 0 {
		d.meanWeight = sum / float64(count)
	}
	for _, tenant := range d.byName {
		tenant.weight = d.meanWeight
		if tenant.IsLimited() {
			tenant.weight = tenant.RatePerSecond
		}
	}
}

// setLabels sets the labels of the tenants in metrics. The largest tenants are those with the largest weights, and not
// those with the most requests, so that all instances label the same ones.
func (d *Directory) setLabels() {
	tenants := make([]*Tenant, 0, len(d.byName))
	for _, tenant := range d.byName {
		tenant.label = otherTenantsLabel
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, func(a, b *Tenant) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.Name, b.Name))
	})
	for _, tenant := range tenants[:min(len(tenants), maxLabelledTenants)] {
		tenant.label = tenant.Name
	}
}

// FindByKey returns the tenant that holds a key, or nil.
func (d *Directory) FindByKey(key string) *Tenant {
	return d.byKeyHash[sha256.Sum256([]byte(key))]
}

// FindByName returns the tenant with a name, or nil.
func (d *Directory) FindByName(name string) *Tenant {
	return d.byName[name]
}

// Labels returns the labels of the tenants in metrics; nil has none.
func (d *Directory) Labels() map[string]bool {
	labels := map[string]bool{}
	if d == nil {
		return labels
	}
	for _, tenant := range d.byName {
		labels[tenant.label] = true
	}
	return labels
}

// MeanWeight returns the weight of all requests without a tenant together, which is that of a tenant without a limit. It
// is 0 for nil.
func (d *Directory) MeanWeight() float64 {
	if d == nil {
		return 0
	}
	return d.meanWeight
}

// Len returns the number of tenants, which is 0 for nil.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// All returns the tenants by name; it must not be changed.
func (d *Directory) All() map[string]*Tenant {
	return d.byName
}
