package mtsoak

import (
	"net/http"
	"syscall"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtpromise"
	"github.com/mangotack/mangotack/internal/soak/mtproxy"
	"github.com/mangotack/mangotack/internal/soak/mtschedule"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// storeSlowness is the added time of a call to a slow store.
	storeSlowness = 250 * time.Millisecond
	// moreRoutes is the number of routes that a big change adds.
	moreRoutes = 260
	// slackLeast and slackMost are the slacks of the retry budget that settings give in turn.
	slackLeast = 40
	slackMost  = 50
	// exitSlack is added to the time that a process has to end.
	exitSlack = 500 * time.Millisecond
)

// faultsOfStore are by the kind of the event.
var faultsOfStore = map[mtschedule.Kind]mtfake.Fault{
	mtschedule.StoreDown:             {Status: http.StatusServiceUnavailable},
	mtschedule.StoreHang:             {Delay: mtfake.Silent},
	mtschedule.StoreSlow:             {Delay: storeSlowness},
	mtschedule.StoreDropAnswers:      {Lost: true},
	mtschedule.StoreThrottleInstance: {Status: http.StatusTooManyRequests},
}

// modesOfProxies are by the kind of the event.
var modesOfProxies = map[mtschedule.Kind]mtproxy.Mode{
	mtschedule.CallerStall:          mtproxy.Stall,
	mtschedule.CallerStallAnswers:   mtproxy.OneWay,
	mtschedule.CallerDelay:          mtproxy.Delay,
	mtschedule.EndpointStall:        mtproxy.Stall,
	mtschedule.EndpointStallAnswers: mtproxy.OneWay,
}

// inject plays one event to its end.
func (r *run) inject(event mtschedule.Event) {
	switch event.Kind {
	case mtschedule.Kill:
		r.kill(event.Target, event.Duration)
	case mtschedule.KillAll:
		for number := range r.members {
			r.group.Go(func() {
				r.kill(number, event.Duration)
			})
		}
	case mtschedule.Pause:
		r.pause(event.Target, event.Duration)
	case mtschedule.Stop:
		r.stop(event.Target, event.Duration)
	case mtschedule.Reload:
		r.reload(event.Target)
	case mtschedule.CallerReset, mtschedule.CallerBlackhole, mtschedule.CallerStall, mtschedule.CallerStallAnswers,
		mtschedule.CallerDelay:
		r.disturbWay(r.names[event.Target], r.proxies[event.Target], event)
	case mtschedule.EndpointReset, mtschedule.EndpointBlackhole, mtschedule.EndpointStall,
		mtschedule.EndpointStallAnswers:
		r.disturbWay(r.endpointNames[event.Target], r.endpoints[event.Target].proxy, event)
	case mtschedule.EndpointRestart:
		r.restart(r.endpoints[event.Target], event.Duration)
	case mtschedule.EndpointDrain:
		r.drain(r.endpoints[event.Target], event.Duration)
	case mtschedule.EndpointHang, mtschedule.EndpointShed, mtschedule.EndpointDropAnswers,
		mtschedule.EndpointCorruptAnswers, mtschedule.EndpointSlow:
		r.during(r.endpointNames[event.Target], event.Duration, func() { r.endpoints[event.Target].set(event.Kind) },
			func() { r.endpoints[event.Target].set("") })
	case mtschedule.Publish, mtschedule.PublishLarge:
		r.configure(event)
	case mtschedule.RepublishPrevious:
		r.publishOld()
		r.sleep(event.Duration)
		r.publish(0)
	case mtschedule.StoreDropHistory:
		r.store.Forget(mtname.ConfigurationTopic)
		r.store.Forget(mtname.EndpointTopic)
	default:
		r.disturbStore(event)
	}
}

// during marks a thing as disturbed from begin until end, and for as long as it needs to settle.
func (r *run) during(thing string, length time.Duration, begin, end func()) {
	over := r.disturbances.begin(thing, r.now())
	begin()
	r.sleep(length)
	end()
	over(r.now() + slackTime)
}

func (r *run) disturbWay(thing string, proxy *mtproxy.Proxy, event mtschedule.Event) {
	switch event.Kind {
	case mtschedule.CallerReset, mtschedule.EndpointReset:
		r.during(thing, 0, proxy.ResetConnections, func() {})
	case mtschedule.CallerBlackhole, mtschedule.EndpointBlackhole:
		// What is on the way then is noticed only when its time is over.
		r.during(thing, wait+waitMore, proxy.Forget, func() {})
	default:
		r.during(thing, event.Duration, func() { proxy.Set(modesOfProxies[event.Kind]) }, func() { proxy.Set(mtproxy.Pass) })
	}
}

// disturbStore gives the store a fault; of two that overlap, the later one holds, and the first end ends both.
func (r *run) disturbStore(event mtschedule.Event) {
	fault := faultsOfStore[event.Kind]
	if event.Kind != mtschedule.StoreThrottleInstance {
		r.during("store", event.Duration, func() { r.store.SetFault(func(string, string) mtfake.Fault { return fault }) },
			func() { r.store.SetFault(nil) })
		return
	}
	refused := r.members[event.Target].Instance.IP
	// That one instance is turned away must hold no configuration back, so nothing is excused.
	r.store.SetFault(func(ip, _ string) mtfake.Fault {
		if ip == refused {
			return fault
		}
		return mtfake.Fault{}
	})
	r.sleep(event.Duration)
	r.store.SetFault(nil)
}

// kill ends a process at once and starts the next one after a while.
func (r *run) kill(number int, length time.Duration) {
	if !r.locks[number].TryLock() {
		return
	}
	defer r.locks[number].Unlock()
	over := r.disturbances.begin(r.names[number], r.now())
	r.members[number].Kill()
	r.sleep(length)
	r.start(number)
	over(r.now() + slackTime)
}

func (r *run) pause(number int, length time.Duration) {
	r.during(r.names[number], length, func() { r.members[number].Signal(syscall.SIGSTOP) },
		func() { r.members[number].Signal(syscall.SIGCONT) })
}

// stop tells a process to end, and starts the next one after a while.
func (r *run) stop(number int, length time.Duration) {
	if !r.locks[number].TryLock() {
		return
	}
	defer r.locks[number].Unlock()
	began := r.now()
	over := r.disturbances.begin(leaving(number), began)
	ended := r.members[number].Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(mtfake.GraceSeconds*time.Second + exitSlack):
		if !r.disturbances.touched(began, r.now(), r.names[number]) {
			r.ledger.Break(r.now(), mtpromise.Recovers, "instance %d has not ended in its time", number)
		}
		r.members[number].Kill()
	}
	r.sleep(length)
	r.start(number)
	over(r.now() + slackTime)
}

// start begins the next process of an instance and waits until it is ready.
func (r *run) start(number int) {
	if err := r.members[number].Start(); err != nil {
		r.ledger.Break(r.now(), mtpromise.Recovers, "instance %d: %v", number, err)
		return
	}
	r.awaitReady(number)
}

func (r *run) reload(number int) {
	slack := slackLeast
	if r.number()%2 == 0 {
		slack = slackMost
	}
	if err := r.members[number].Reload(slack); err != nil {
		r.ledger.Break(r.now(), mtpromise.Recovers, "settings of instance %d: %v", number, err)
	}
}

// restart ends an endpoint as a crash would, and starts it again under the same ID.
func (r *run) restart(e *endpoint, length time.Duration) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	r.during(e.name(), length, e.close, func() { r.reopen(e) })
}

func (r *run) reopen(e *endpoint) {
	if err := e.open(); err != nil {
		r.ledger.Break(r.now(), mtpromise.Recovers, "%s: %v", e.name(), err)
	}
	e.fake.Born++
	e.register("ready")
}

// drain lets an endpoint say that it leaves, and come back later.
func (r *run) drain(e *endpoint, length time.Duration) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	e.register("draining")
	e.leave(r.now())
	r.sleep(length)
	e.leave(0)
	e.fake.Born++
	e.register("ready")
}

// configure publishes the next versions.
func (r *run) configure(event mtschedule.Event) {
	more := 0
	if event.Kind == mtschedule.PublishLarge {
		more = moreRoutes
	}
	for range 1 + event.Target {
		r.publish(more)
	}
}
