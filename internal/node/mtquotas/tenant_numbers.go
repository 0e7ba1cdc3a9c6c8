package mtquotas

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mangotack/mangotack/internal/core/mtquota"
)

// tenantNumbers are the numbers by which messages name tenants that have a limit.
type tenantNumbers struct {
	byName   map[string]uint32
	byNumber map[uint32]limitedTenant
}

// limitedTenant is a tenant with a limit.
type limitedTenant struct {
	name  string
	limit mtquota.Limit
}

// newTenantNumbers numbers tenants by the low half of the hash of their names. Instances with the same tenants assign the same
// numbers: of two names with the same hash, the first in order keeps it.
func newTenantNumbers(limits map[string]mtquota.Limit) *tenantNumbers {
	numbers := &tenantNumbers{
		byName:   make(map[string]uint32, len(limits)),
		byNumber: make(map[uint32]limitedTenant, len(limits)),
	}
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		text := name
		number := uint32(xxhash.Sum64String(text))
		for isTaken := true; isTaken; {
			if _, isTaken = numbers.byNumber[number]; isTaken {
				text += "\x00"
				number = uint32(xxhash.Sum64String(text))
			}
		}
		numbers.byName[name] = number
		numbers.byNumber[number] = limitedTenant{
			name:  name,
			limit: limits[name],
		}
	}
	return numbers
}
