// An instance that reaches no endpoint of a service passes the requests for it on to an instance that does. Whether it
// reaches any follows from its own failures and from checks on new connections; the others learn it with its row.

package mtgateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtreach"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

const (
	// maxCheckedEndpoints is the number of endpoints that a check asks. Some of them may have crashed.
	maxCheckedEndpoints = 4
	// maxLostServicesPerRow bounds the services in a row.
	maxLostServicesPerRow = 32
	// reasonLost is the refusal reason of a request that waited for an endpoint when this instance lost all of them.
	reasonLost = "cut"
)

// trackerOf returns the tracker of a service, which it creates on first use; the caller holds g.mu.
func (g *Gateway) trackerOf(service string) *mtreach.Tracker {
	tracker := g.trackers[service]
	if tracker == nil {
		tracker = mtreach.NewTracker()
		g.trackers[service] = tracker
	}
	return tracker
}

// recordConnected records that a new connection to an endpoint of a service was opened.
func (g *Gateway) recordConnected(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trackerOf(service).RecordConnected()
}

// recordReach records what the end of an attempt tells of the endpoint.
func (g *Gateway) recordReach(
	service string, target *mtscheduler.Endpoint, verdict mtscheduler.Verdict, delivery mtupstream.DeliveryStatus, now time.Time,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case delivery == mtupstream.Answered:
		g.recordResponse(service, now)
	case verdict == mtscheduler.Failed:
		g.recordUnreached(service, target, delivery != mtupstream.NotSent, now)
	}
}

// recordResponse records that an endpoint of a service has responded; the caller holds g.mu.
func (g *Gateway) recordResponse(service string, now time.Time) {
	g.trackerOf(service).RecordResponse(now)
	g.endpointRespondedAt = now
}

// recordUnreached records a failure of an endpoint without a response; the caller holds g.mu.
func (g *Gateway) recordUnreached(service string, target *mtscheduler.Endpoint, isConnected bool, now time.Time) {
	tracker := g.trackerOf(service)
	tracker.RecordFailure(target.ID, isConnected, now)
	g.startCheck(service, now)
}

// startCheck starts a check of a service if one is due; the caller holds g.mu.
func (g *Gateway) startCheck(service string, now time.Time) {
	var addresses []string
	for _, endpoint := range g.placerFor(service).Endpoints() {
		if endpoint.IsUsable(now) {
			addresses = append(addresses, endpoint.Address)
		}
	}
	if len(addresses) == 0 {
		g.forgetService(service)
		return
	}
	if !g.trackerOf(service).TakeCheck(len(addresses), now) {
		return
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	go g.check(service, addresses[:min(len(addresses), maxCheckedEndpoints)], now)
}

// checkLostServices checks services that another instance has lost, so that an instance without requests notices as well
// that it is cut.
func (g *Gateway) checkLostServices(services []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range services {
		if g.placers[service] == nil {
			continue
		}
		g.trackerOf(service).RecordPeerCut()
		g.startCheck(service, now)
	}
}

// forgetService ends the tracking of a service without endpoints that may be asked, so that it is not lost; the caller holds g.mu.
func (g *Gateway) forgetService(service string) {
	wasCut := g.trackerOf(service).IsCut()
	delete(g.trackers, service)
	if wasCut {
		g.publishLostServices()
		mtevent.ServiceReached.Log(g.logger, logrus.Fields{
			"service":   service,
			"endpoints": 0,
		})
	}
}

// check asks endpoints of a service whether this instance reaches them.
func (g *Gateway) check(service string, addresses []string, began time.Time) {
	path := "/"
	if table := g.routeTable.Load(); table != nil {
		path = table.Services[service].Health
	}
	results := make(chan error, len(addresses))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, address := range addresses {
		go func() {
			results <- g.endpointPool.Check(ctx, address, path, mtreach.MaxCheckTime)
		}()
	}
	ticker := time.NewTicker(mtreach.SilenceInterval)
	defer ticker.Stop()
	for failed := 0; failed < len(addresses); {
		select {
		case err := <-results:
			if err == nil {
				g.endCheck(service, true, time.Now())
				return
			}
			failed++
		case <-ticker.C:
			switch now := time.Now(); g.judgeSilence(service, began, now) {
			case mtreach.Unreachable:
				g.endCheck(service, false, now)
				return
			case mtreach.Reachable:
				g.abandonCheck(service, now)
				return
			}
		}
	}
	g.endCheck(service, false, time.Now())
}

// judgeSilence judges a check of a service that has got no response so far.
func (g *Gateway) judgeSilence(service string, began, now time.Time) mtreach.SilenceVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trackerOf(service).JudgeSilence(began, g.endpointRespondedAt, now)
}

// abandonCheck records the end of an inconclusive check.
func (g *Gateway) abandonCheck(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trackerOf(service).CheckAbandoned(now)
	g.checkAgain(service)
}

// checkAgain starts the next check of a service that is lost or suspected after a while.
func (g *Gateway) checkAgain(service string) {
	time.AfterFunc(mtreach.CheckInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.startCheck(service, time.Now())
	})
}

// endCheck records the result of a check. If it changes whether the service is reached, the other instances are told.
func (g *Gateway) endCheck(service string, responded bool, now time.Time) {
	g.mu.Lock()
	tracker := g.trackerOf(service)
	changed := tracker.CheckEnded(responded, now)
	if changed {
		g.publishLostServices()
	}
	if changed && !responded {
		g.handleLostService(service)
	}
	if !responded {
		g.checkAgain(service)
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	event := mtevent.ServiceLost
	if responded {
		event = mtevent.ServiceReached
	}
	event.Log(g.logger, logrus.Fields{
		"service": service,
	})
	g.wakeRoleSelection()
	g.mesh.SendHeartbeat(now)
}

// handleLostService rejects the waiting requests of a service that this instance no longer reaches, so that they are
// passed on, and closes open connections; the caller holds g.mu.
func (g *Gateway) handleLostService(service string) {
	placer := g.placerFor(service)
	for _, endpoint := range placer.Endpoints() {
		g.endpointPool.CloseIdle(endpoint.Address)
	}
	for _, id := range placer.RemoveAll() {
		if w := g.waiters[id]; w != nil {
			delete(g.waiters, id)
			w.refused <- &mtscheduler.Rejection{
				Reason: reasonLost,
			}
		}
	}
}

// publishLostServices updates the services that the row names as lost; the caller holds g.mu.
func (g *Gateway) publishLostServices() {
	var lost []string
	for service, tracker := range g.trackers {
		if tracker.IsCut() && len(lost) < maxLostServicesPerRow {
			lost = append(lost, service)
		}
	}
	slices.Sort(lost)
	g.lostServices.Store(&lost)
}

// currentLostServices returns the services of which this instance reaches no endpoint, sorted.
func (g *Gateway) currentLostServices() []string {
	lost := g.lostServices.Load()
	if lost == nil {
		return nil
	}
	return *lost
}
