package mtsoak

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtfaultproxy"
	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/internal/soak/mtschedule"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// storeDelay is the added time of a call to a slow store.
	storeDelay = 250 * time.Millisecond
	// largeVersionRoutes is the number of routes that PublishLarge adds to a version.
	largeVersionRoutes = 260
	// minRetrySlack and maxRetrySlack are the slacks of the retry budget between which reloads alternate.
	minRetrySlack = 40
	maxRetrySlack = 50
	// exitTolerance is added to the grace period within which a process must exit.
	exitTolerance = 500 * time.Millisecond
)

// storeFaults are the faults of the store by the kind of the event.
var storeFaults = map[mtschedule.Kind]mtfake.Fault{
	mtschedule.StoreDown:             {Status: http.StatusServiceUnavailable},
	mtschedule.StoreHang:             {Delay: mtfake.UnresponsiveDelay},
	mtschedule.StoreSlow:             {Delay: storeDelay},
	mtschedule.StoreDropAnswers:      {DropResponse: true},
	mtschedule.StoreThrottleInstance: {Status: http.StatusTooManyRequests},
}

// proxyModes are the modes of proxies by the kind of the event.
var proxyModes = map[mtschedule.Kind]mtfaultproxy.Mode{
	mtschedule.CallerStall:          mtfaultproxy.Stall,
	mtschedule.CallerStallAnswers:   mtfaultproxy.StallAnswers,
	mtschedule.CallerDelay:          mtfaultproxy.Delay,
	mtschedule.EndpointStall:        mtfaultproxy.Stall,
	mtschedule.EndpointStallAnswers: mtfaultproxy.StallAnswers,
}

// endpointsCuts are the cuts of the proxies of endpoints by the kind of the event.
var endpointsCuts = map[mtschedule.Kind]mtfaultproxy.Cut{
	mtschedule.EndpointsCutReset:  mtfaultproxy.CutReset,
	mtschedule.EndpointsCutSilent: mtfaultproxy.CutSilent,
	mtschedule.EndpointsCutNew:    mtfaultproxy.CutNew,
}

// inject carries out one event and returns when its duration is over.
func (r *run) inject(event mtschedule.Event) {
	switch event.Kind {
	case mtschedule.Kill:
		r.killGateway(event.Target, event.Duration)
	case mtschedule.KillAll:
		for index := range r.gateways {
			r.taskGroup.Go(func() {
				r.killGateway(index, event.Duration)
			})
		}
	case mtschedule.Pause:
		r.pauseGateway(event.Target, event.Duration)
	case mtschedule.Stop:
		r.stopGateway(event.Target, event.Duration)
	case mtschedule.Reload:
		r.reloadGateway(event.Target)
	case mtschedule.CallerReset, mtschedule.CallerBlackhole, mtschedule.CallerStall, mtschedule.CallerStallAnswers,
		mtschedule.CallerDelay:
		r.injectConnectionFault(r.instanceNames[event.Target], r.proxies[event.Target], event)
	case mtschedule.CallerCrowd:
		r.playCrowd(event.Target, event.Duration)
	case mtschedule.EndpointReset, mtschedule.EndpointBlackhole, mtschedule.EndpointStall,
		mtschedule.EndpointStallAnswers:
		r.injectConnectionFault(r.endpointNames[event.Target], r.endpoints[event.Target].proxy, event)
	case mtschedule.EndpointRestart:
		r.restartEndpoint(r.endpoints[event.Target], event.Duration)
	case mtschedule.EndpointsCutReset, mtschedule.EndpointsCutSilent, mtschedule.EndpointsCutNew:
		r.cutFromEndpoints(event)
	case mtschedule.EndpointLimit:
		r.limitEndpoint(r.endpoints[event.Target], event.Duration)
	case mtschedule.EndpointDrain:
		r.drainEndpoint(r.endpoints[event.Target], event.Duration)
	case mtschedule.EndpointHang, mtschedule.EndpointShed, mtschedule.EndpointDropAnswers,
		mtschedule.EndpointCorruptAnswers, mtschedule.EndpointSlow:
		r.withFault(r.endpointNames[event.Target], event.Duration,
			func() { r.endpoints[event.Target].setFault(event.Kind) },
			func() { r.endpoints[event.Target].setFault("") })
	case mtschedule.TenantHot:
		r.heatTenant(event.Duration)
	case mtschedule.ZoneEvacuate:
		r.evacuateZone(event.Target, event.Duration)
	case mtschedule.ZoneReturnCold:
		r.returnZoneCold(event.Target, event.Duration)
	case mtschedule.Publish, mtschedule.PublishLarge:
		r.publishVersions(event)
	case mtschedule.RepublishPrevious:
		r.withFault(rollback, event.Duration, r.republishPrevious, func() { r.publishNext(0) })
	case mtschedule.PublishUnseen:
		r.withFault("store", event.Duration, func() {
			r.store.SetFault(func(string, string) mtfake.Fault { return storeFaults[mtschedule.StoreDown] })
			r.publishNext(0)
		}, func() { r.store.SetFault(nil) })
	case mtschedule.StoreRestore:
		r.restoreStore(event.Duration)
	case mtschedule.StoreDropHistory:
		r.store.Compact(mtname.ConfigurationTopic)
		r.store.Compact(mtname.EndpointTopic)
	default:
		r.injectStoreFault(event)
	}
}

// withFault runs begin, waits and runs end; the fault of the component is recorded until faultMargin after end.
func (r *run) withFault(component string, duration time.Duration, begin, end func()) {
	endFault := r.faults.begin(component, r.now())
	begin()
	r.sleep(duration)
	end()
	endFault(r.now() + faultMargin)
}

// cutFromEndpoints cuts an instance from all endpoints. Callers, the store and the other instances still reach it, so only
// the endpoints have a fault. The end of a cut ends all cuts of the instance.
func (r *run) cutFromEndpoints(event mtschedule.Event) {
	ip := r.gateways[event.Target].Instance.IP
	var group sync.WaitGroup
	for _, e := range r.endpoints {
		group.Go(func() {
			r.withFault(e.name(), event.Duration, func() { e.proxy.SetCut(ip, endpointsCuts[event.Kind]) },
				func() { e.proxy.SetCut(ip, mtfaultproxy.NoCut) })
		})
	}
	group.Wait()
}

func (r *run) injectConnectionFault(component string, proxy *mtfaultproxy.Proxy, event mtschedule.Event) {
	switch event.Kind {
	case mtschedule.CallerReset, mtschedule.EndpointReset:
		r.withFault(component, 0, proxy.ResetConnections, func() {})
	case mtschedule.CallerBlackhole, mtschedule.EndpointBlackhole:
		// Calls in flight fail only when they time out.
		r.withFault(component, callTimeout+readGrace, proxy.BlackholeConnections, func() {})
	default:
		r.withFault(component, event.Duration, func() { proxy.SetMode(proxyModes[event.Kind]) },
			func() { proxy.SetMode(mtfaultproxy.Forward) })
	}
}

// injectStoreFault gives the store a fault. Of two faults that overlap, the later one replaces the other, and the
// first end ends both.
func (r *run) injectStoreFault(event mtschedule.Event) {
	fault := storeFaults[event.Kind]
	if event.Kind != mtschedule.StoreThrottleInstance {
		r.withFault("store", event.Duration,
			func() { r.store.SetFault(func(string, string) mtfake.Fault { return fault }) },
			func() { r.store.SetFault(nil) })
		return
	}
	throttled := r.gateways[event.Target].Instance.IP
	// An instance must apply configurations in time though the store throttles it, so no fault is recorded.
	r.store.SetFault(func(ip, _ string) mtfake.Fault {
		if ip == throttled {
			return fault
		}
		return mtfake.Fault{}
	})
	r.sleep(event.Duration)
	r.store.SetFault(nil)
}

const (
	// restoreOutage is how long the store is down before it returns with a copy, and rewriteDelay how long after that
	// the operator and the endpoints write again.
	restoreOutage = 500 * time.Millisecond
	rewriteDelay  = 200 * time.Millisecond
)

// restoreStore makes the store lose what is written in a duration from now. The operator writes the newest version
// again, and each endpoint its state.
func (r *run) restoreStore(duration time.Duration) {
	endRollback := r.faults.begin(rollback, r.now())
	defer func() { endRollback(r.now() + faultMargin) }()
	backup := r.store.Copy()
	r.sleep(duration)
	r.withFault("store", restoreOutage, func() {
		r.store.SetFault(func(string, string) mtfake.Fault { return storeFaults[mtschedule.StoreDown] })
	}, func() {
		r.store.Restore(backup)
		r.store.SetFault(nil)
	})
	r.withFault("store", rewriteDelay, func() {}, func() {
		r.republishNewest()
		r.rewriteEvacuations()
		for _, e := range r.endpoints {
			e.reregister()
		}
	})
}

// killGateway kills the process of an instance and starts the next one after a duration. It does nothing while the
// process is being replaced.
func (r *run) killGateway(index int, duration time.Duration) {
	if !r.processLocks[index].TryLock() {
		return
	}
	defer r.processLocks[index].Unlock()
	endFault := r.faults.begin(r.instanceNames[index], r.now())
	r.gateways[index].Kill()
	r.sleep(duration)
	r.startGateway(index)
	endFault(r.now() + faultMargin)
}

func (r *run) pauseGateway(index int, duration time.Duration) {
	r.withFault(r.instanceNames[index], duration, func() { r.gateways[index].Signal(syscall.SIGSTOP) },
		func() { r.gateways[index].Signal(syscall.SIGCONT) })
}

// stopGateway sends SIGTERM to the process of an instance, kills it if it exceeds its grace period, and starts the next
// one after a duration. It does nothing while the process is being replaced.
func (r *run) stopGateway(index int, duration time.Duration) {
	if !r.processLocks[index].TryLock() {
		return
	}
	defer r.processLocks[index].Unlock()
	beganAt := r.now()
	endFault := r.faults.begin(stoppingKey(index), beganAt)
	exited := r.gateways[index].Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(mtfake.GracePeriodSeconds*time.Second + exitTolerance):
		if !r.faults.overlaps(beganAt, r.now(), r.instanceNames[index]) {
			r.checker.Report(r.now(), mtinvariant.Recovers, "instance %d did not exit within its grace period", index)
		}
		r.gateways[index].Kill()
	}
	r.sleep(duration)
	r.startGateway(index)
	endFault(r.now() + faultMargin)
}

// startGateway starts the next process of an instance and waits until it is ready.
func (r *run) startGateway(index int) {
	if err := r.gateways[index].Start(); err != nil {
		r.checker.Report(r.now(), mtinvariant.Recovers, "instance %d: %v", index, err)
		return
	}
	r.awaitReady(index)
}

func (r *run) reloadGateway(index int) {
	slack := minRetrySlack
	if r.countReload()%2 == 0 {
		slack = maxRetrySlack
	}
	if err := r.gateways[index].Reload(slack); err != nil {
		r.checker.Report(r.now(), mtinvariant.Recovers, "settings of instance %d: %v", index, err)
	}
}

// restartEndpoint stops an endpoint as a crash does, and starts it after a duration under the same ID. It does nothing
// while the endpoint drains or restarts.
func (r *run) restartEndpoint(e *endpoint, duration time.Duration) {
	if !e.lifecycleMu.TryLock() {
		return
	}
	defer e.lifecycleMu.Unlock()
	r.withFault(e.name(), duration, e.stop, func() { r.restoreEndpoint(e) })
}

func (r *run) restoreEndpoint(e *endpoint) {
	if err := e.start(); err != nil {
		r.checker.Report(r.now(), mtinvariant.Recovers, "%s: %v", e.name(), err)
	}
	e.registerNewProcess()
}

// drainEndpoint registers an endpoint as draining, and as ready after a duration. It does nothing while the endpoint
// drains or restarts.
func (r *run) drainEndpoint(e *endpoint, duration time.Duration) {
	if !e.lifecycleMu.TryLock() {
		return
	}
	defer e.lifecycleMu.Unlock()
	e.register("draining")
	e.setDraining(r.now())
	r.sleep(duration)
	e.setDraining(0)
	e.registerNewProcess()
}

// publishVersions publishes the next versions without a pause between them.
func (r *run) publishVersions(event mtschedule.Event) {
	extraRoutes := 0
	if event.Kind == mtschedule.PublishLarge {
		extraRoutes = largeVersionRoutes
	}
	for range 1 + event.Target {
		r.publishNext(extraRoutes)
	}
}
