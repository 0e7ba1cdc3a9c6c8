// An entry may expire while its endpoint lives on, for example because the store did not take the heartbeats. When the same process
// registers again, the back-off that it has asked for, its limit and its warm-up still apply.

package mtgateway

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// retiredTargetTTL is how long a target is kept without an entry; it is longer than the longest back-off.
const retiredTargetTTL = 10 * time.Minute

// endpointProcess identifies a process of an endpoint.
type endpointProcess struct {
	id   string
	born int64
}

// retiredTarget is a target without an entry since a time.
type retiredTarget struct {
	target *mtscheduler.Endpoint
	at     time.Time
}

func processOf(id string, born int64) endpointProcess {
	return endpointProcess{
		id:   id,
		born: born,
	}
}

// resumedTarget returns the target of a process that registers again, or nil; the caller holds g.mu. Requests read the address of a
// target without the lock, so a process at another address gets a new target.
func (g *Gateway) resumedTarget(entry mtregistry.Entry) *mtscheduler.Endpoint {
	key := processOf(entry.ID, entry.Born)
	found, isRetired := g.retired[key]
	if !isRetired {
		return nil
	}
	delete(g.retired, key)
	if found.target.Address != entry.Address {
		return found.target.AtAddress(entry.Address)
	}
	return found.target
}

// forgetRetiredTargets drops the targets that have had no entry for longer than retiredTargetTTL; the caller holds g.mu.
func (g *Gateway) forgetRetiredTargets(now time.Time) {
	for key, retired := range g.retired {
		if now.Sub(retired.at) > retiredTargetTTL {
			delete(g.retired, key)
		}
	}
}
