package mtgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

const (
	// crashCheckTimeout bounds a check whether an endpoint has crashed; the retry of a lost request waits for it.
	crashCheckTimeout = 100 * time.Millisecond
	// maxOtherEndpoints is the number of other endpoints that a check tries until one accepts a connection.
	maxOtherEndpoints = 8
)

// hasCrashed checks whether an endpoint that has closed a connection without a response has crashed: it refuses connections,
// and another one of its service accepts them. If none does, this instance may be partitioned from all of them.
func (g *Gateway) hasCrashed(service string, endpoint *mtscheduler.Endpoint) bool {
	if g.isEvacuated(endpoint) {
		// Nothing is sent to the zone, checks included.
		return false
	}
	key := endpoint.ID + "/" + strconv.FormatInt(endpoint.Born, 10)
	crashed, _, _ := g.crashChecks.Do(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if err := g.endpointPool.Connect(ctx, endpoint.Address); !errors.Is(err, syscall.ECONNREFUSED) {
			return false, nil
		}
		others := g.otherEndpointAddresses(service, endpoint, time.Now())
		for _, address := range others {
			if g.endpointPool.Connect(ctx, address) == nil {
				return true, nil
			}
		}
		return len(others) == 0, nil
	})
	return crashed.(bool)
}

// otherEndpointAddresses returns the addresses of a few other endpoints of a service.
func (g *Gateway) otherEndpointAddresses(service string, excluded *mtscheduler.Endpoint, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, endpoint := range g.placerFor(service).Endpoints() {
		if endpoint != excluded && endpoint.IsUsable(now) {
			addresses = append(addresses, endpoint.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), maxOtherEndpoints)]
}
