package mtsoak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtfaultproxy"
	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/internal/soak/mtprocess"
	"github.com/mangotack/mangotack/internal/soak/mtschedule"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// faultMargin is how long before its record and after its end a fault may affect a call.
	faultMargin = 300 * time.Millisecond
	// recoveryTimeout is recovery_s of the users' sites. A run that skips timing waits for untimedRecoveryTimeout,
	// and so does every wait until a new process is ready.
	recoveryTimeout        = 15 * time.Second
	untimedRecoveryTimeout = 60 * time.Second
	// requiredSuccesses is the number of consecutive successful checks after which an instance has recovered.
	requiredSuccesses = 20
	readyPollInterval = 10 * time.Millisecond
	// centreCount is the number of data centres that instances and endpoints are spread over.
	centreCount = 3
)

// Settings are the settings of a run.
type Settings struct {
	// Seed is the seed of all random draws.
	Seed uint64
	// Schedule bounds the faults that are drawn.
	Schedule mtschedule.Parameters
	// Callers is the number of callers that send requests at the same time.
	Callers int
	// Binary is the path of the gateway's executable file.
	Binary string
	// Directory is the path for settings and logs.
	Directory string
	// SkipTiming leaves out the invariants that need processor time.
	SkipTiming bool
}

// run is the state of a run.
type run struct {
	settings      Settings
	log           io.Writer
	beganAt       time.Time
	ctx           context.Context
	checker       *mtinvariant.Checker
	faults        *faultTimeline
	store         *mtfake.Store
	gateways      []*mtprocess.Gateway
	instanceNames []string
	proxies       []*mtfaultproxy.Proxy
	endpoints     []*endpoint
	endpointNames []string
	taskGroup     sync.WaitGroup
	// processLocks are locked while the process of an instance is being replaced, by the index of the instance.
	processLocks []sync.Mutex
	reloadCount  atomic.Int64
	limitCount   atomic.Int64
	zones        [centreCount]zoneState
	hotTenant    hotTenant

	mu      sync.Mutex
	version int
	// publishedAt is when the version was published, or the maximum while the one before is published again.
	publishedAt time.Duration
	// publications are the times at which the versions were first published.
	publications map[int]time.Duration
}

// Run carries out a run and returns the violations of invariants, with the number of requests by outcome. It writes
// the injected events to log.
func Run(ctx context.Context, settings Settings, log io.Writer) ([]mtinvariant.Violation, map[string]int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		settings:     settings,
		log:          log,
		beganAt:      time.Now(),
		ctx:          ctx,
		checker:      mtinvariant.NewChecker(settings.SkipTiming),
		faults:       newFaultTimeline(),
		store:        mtfake.NewStore(),
		publications: map[int]time.Duration{},
		processLocks: make([]sync.Mutex, settings.Schedule.Instances),
	}
	defer r.shutDown()
	if err := r.setUp(); err != nil {
		return nil, nil, err
	}
	r.execute()
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	return r.checker.Violations(), r.checker.Counts(), nil
}

func (r *run) now() time.Duration {
	return time.Since(r.beganAt)
}

// countReload returns the number of reloads of all instances, with this one.
func (r *run) countReload() int64 {
	return r.reloadCount.Add(1)
}

func (r *run) sleep(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-r.ctx.Done():
	}
}

// stoppingKey returns the component of the fault timeline for the stop and restart of an instance.
func stoppingKey(index int) string {
	return fmt.Sprintf("leaving %d", index)
}

// loopbackAddress returns a loopback IP address with a last byte; runs at the same time have different addresses if
// their seeds differ modulo 128 or the process IDs modulo 250.
func (r *run) loopbackAddress(lastByte int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+r.settings.Seed%128, os.Getpid()%250, lastByte)
}

// The last byte of the first address of each kind, and the port of endpoints and their proxies.
const (
	instanceByte      = 1
	callerProxyByte   = 65
	endpointByte      = 129
	endpointProxyByte = 192
	storeByte         = 255 - 1
	endpointPort      = 18700
)

// setUp starts the store, the endpoints and the instances, and waits until all instances are ready.
func (r *run) setUp() error {
	listener, err := net.Listen("tcp", r.loopbackAddress(storeByte)+":0")
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           r.store,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		<-r.ctx.Done()
		_ = server.Close()
	}()
	go func() {
		// Serve ends with Close.
		_ = server.Serve(listener)
	}()
	r.publishNext(0)
	for index := range r.settings.Schedule.Endpoints {
		if err := r.addEndpoint(index); err != nil {
			return err
		}
	}
	for index := range r.settings.Schedule.Instances {
		if err := r.addInstance(index, listener.Addr().String()); err != nil {
			return err
		}
	}
	for index := range r.gateways {
		r.awaitReady(index)
	}
	return nil
}

func (r *run) addEndpoint(index int) error {
	e := &endpoint{
		run:           r,
		index:         index,
		listenAddress: fmt.Sprintf("%s:%d", r.loopbackAddress(endpointByte+index), endpointPort),
		fake: mtfake.Endpoint{
			ID:      fmt.Sprintf("e-%d", index),
			Service: []string{"menu", "pay"}[index%2],
			Centre:  centre(index / 2),
			Slots:   endpointSlots,
			Born:    1,
		},
	}
	e.fake.Handle = e.handleRequest
	if r.settings.Schedule.Zones > 0 {
		// Health responses state from now on that the endpoint is warm.
		e.fake.SetCold(0)
	}
	if err := e.start(); err != nil {
		return err
	}
	proxy, err := mtfaultproxy.NewProxy(fmt.Sprintf("%s:%d", r.loopbackAddress(endpointProxyByte+index), endpointPort),
		e.listenAddress)
	if err != nil {
		return err
	}
	e.proxy = proxy
	r.endpoints = append(r.endpoints, e)
	r.endpointNames = append(r.endpointNames, e.name())
	e.register("ready")
	return nil
}

func centre(index int) string {
	return fmt.Sprintf("z-%d", index%centreCount)
}

func (r *run) addInstance(index int, storeAddress string) error {
	instance := mtfake.InstanceSettings{
		IP:           r.loopbackAddress(instanceByte + index),
		Centre:       centre(index),
		StoreAddress: storeAddress,
		RetrySlack:   maxRetrySlack,
	}
	for seed := range index {
		instance.SeedIPs = append(instance.SeedIPs, r.gateways[seed].Instance.IP)
	}
	proxy, err := mtfaultproxy.NewProxy(fmt.Sprintf("%s:%d", r.loopbackAddress(callerProxyByte+index), mtfake.CallsPort),
		instance.CallsAddress())
	if err != nil {
		return err
	}
	gateway := mtprocess.NewGateway(r.settings.Binary, r.settings.Directory, instance, func(detail string) {
		r.checker.Report(r.now(), mtinvariant.Recovers, "%s", detail)
	})
	r.gateways = append(r.gateways, gateway)
	r.instanceNames = append(r.instanceNames, fmt.Sprintf("instance %d", index))
	r.proxies = append(r.proxies, proxy)
	return gateway.Start()
}

// awaitReady waits until the readiness check of an instance succeeds.
func (r *run) awaitReady(index int) {
	client := http.Client{
		Timeout: directoryTimeout,
	}
	deadline := r.now() + untimedRecoveryTimeout
	for r.ctx.Err() == nil {
		response, err := client.Get("http://" + r.gateways[index].Instance.DirectoryAddress() + mtname.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if r.now() > deadline {
			r.checker.Report(r.now(), mtinvariant.Recovers, "instance %d is not ready", index)
			return
		}
		time.Sleep(readyPollInterval)
	}
}

// configuration returns a version of the configuration. It has warm-ups only if endpoints become cold in the run, so that other runs
// of a seed stay as they are.
func (r *run) configuration(version, extraRoutes int) []byte {
	text := configuration(version, extraRoutes)
	if r.settings.Schedule.Zones == 0 {
		return text
	}
	return mtfake.WithWarmUp(text, coldTime.Seconds(), coldPerSecond)
}

// publishNext puts the next version of the configuration into the store.
func (r *run) publishNext(extraRoutes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.store.Put(mtname.ConfigurationTopic, mtname.ConfigurationKey, r.configuration(r.version, extraRoutes))
	r.publishedAt = r.now()
	r.publications[r.version] = r.publishedAt
}

// publicationOf returns when a version was first published, if it was.
func (r *run) publicationOf(version int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	publishedAt, found := r.publications[version]
	return publishedAt, found
}

// republishPrevious puts the version before the newest into the store again.
func (r *run) republishPrevious() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(mtname.ConfigurationTopic, mtname.ConfigurationKey, r.configuration(max(1, r.version-1), 0))
	// A process that starts now applies the old version until the next one, so no version is late meanwhile.
	r.publishedAt = math.MaxInt64
}

// republishNewest puts the newest version into the store again, after the store has lost it.
func (r *run) republishNewest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(mtname.ConfigurationTopic, mtname.ConfigurationKey, r.configuration(r.version, 0))
	if r.publishedAt != math.MaxInt64 {
		r.publishedAt = r.now()
	}
}

// newestVersion returns the newest version and when it was published.
func (r *run) newestVersion() (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.publishedAt
}

// execute injects the faults under load, then checks recovery, the retry budget and the shutdown.
func (r *run) execute() {
	loadContext, stopLoad := context.WithCancel(r.ctx)
	defer stopLoad()
	var loadGroup sync.WaitGroup
	for index := range r.settings.Callers {
		c := &caller{
			run:    r,
			index:  index,
			random: rand.New(rand.NewPCG(r.settings.Seed, uint64(index)+1)),
		}
		loadGroup.Go(func() { c.sendRequests(loadContext) })
	}
	for index := range r.gateways {
		loadGroup.Go(func() { r.monitorConfig(loadContext, index) })
		loadGroup.Go(func() { r.monitorKeys(loadContext, index) })
	}
	start := r.now()
	for _, event := range mtschedule.NewSchedule(r.settings.Seed, r.settings.Schedule) {
		r.sleep(start + event.At - r.now())
		if r.ctx.Err() != nil {
			break
		}
		fmt.Fprintf(r.log, "%7.3fs %s\n", r.now().Seconds(), event)
		r.taskGroup.Go(func() { r.inject(event) })
	}
	r.sleep(start + r.settings.Schedule.Duration - r.now())
	r.taskGroup.Wait()
	r.checkRecovery()
	stopLoad()
	loadGroup.Wait()
	r.checker.CheckRetries(mtinvariant.RetryBudget{
		Ratio:       mtfake.RetryRatio,
		BaseRetries: maxRetrySlack,
		Window:      mtfake.RetryWindowSeconds * time.Second,
	}, r.now())
	r.checkShutdown()
}

// checkRecovery waits until each instance serves requests again, up to a deadline.
func (r *run) checkRecovery() {
	deadline := r.now() + recoveryTimeout
	if r.settings.SkipTiming {
		deadline = r.now() + untimedRecoveryTimeout
	}
	for index := range r.gateways {
		r.taskGroup.Go(func() {
			c := &caller{
				run:      r,
				index:    0xe000 + index,
				random:   rand.New(rand.NewPCG(r.settings.Seed, uint64(index))),
				instance: index,
			}
			defer c.closeConn()
			successes := 0
			for successes < requiredSuccesses && r.ctx.Err() == nil {
				if r.now() > deadline {
					r.checker.Report(r.now(), mtinvariant.Recovers, "instance %d does not serve again", index)
					return
				}
				if c.succeeds() {
					successes++
				} else {
					successes = 0
				}
			}
		})
	}
	r.taskGroup.Wait()
}

// succeeds sends one request of each service to the caller's instance and reports whether both get status 200.
func (c *caller) succeeds() bool {
	for _, idempotent := range []bool{true, false} {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.run.proxies[c.instance].Address(), dialTimeout)
			if err != nil {
				time.Sleep(readyPollInterval)
				return false
			}
			c.setConn(conn)
		}
		c.requests++
		if c.send(fmt.Sprintf("%04x%012x", c.index, c.requests), idempotent) != http.StatusOK {
			time.Sleep(readyPollInterval)
			return false
		}
	}
	return true
}

// checkShutdown stops all instances at the same time with SIGTERM and checks that they exit within their grace period.
func (r *run) checkShutdown() {
	for index := range r.gateways {
		r.taskGroup.Go(func() {
			select {
			case <-r.gateways[index].Signal(syscall.SIGTERM):
			case <-time.After(mtfake.GracePeriodSeconds*time.Second + exitTolerance):
				r.checker.Report(r.now(), mtinvariant.Recovers, "instance %d did not exit within its grace period", index)
			}
		})
	}
	r.taskGroup.Wait()
}

// shutDown ends the processes, proxies and servers that the run has started.
func (r *run) shutDown() {
	for _, gateway := range r.gateways {
		gateway.Kill()
	}
	for _, proxy := range r.proxies {
		proxy.Close()
	}
	for _, e := range r.endpoints {
		e.proxy.Close()
		e.stop()
	}
}
