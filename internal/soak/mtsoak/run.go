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

	"github.com/mangotack/mangotack/internal/soak/mtfleet"
	"github.com/mangotack/mangotack/internal/soak/mtpromise"
	"github.com/mangotack/mangotack/internal/soak/mtproxy"
	"github.com/mangotack/mangotack/internal/soak/mtschedule"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// slackTime is how long before and after a disturbance a call may feel it.
	slackTime = 300 * time.Millisecond
	// recoverTime is recovery_s of the users' sites; an untimed run waits longer.
	recoverTime  = 15 * time.Second
	recoverLater = 60 * time.Second
	// servedInARow is the number of requests in a row that show that an instance serves.
	servedInARow = 20
	readyPause   = 10 * time.Millisecond
	// centres is the number of data centres that instances and endpoints are spread over.
	centres = 3
)

// Settings are what a run is played with.
type Settings struct {
	Seed uint64
	// Shape is what the faults are drawn for.
	Schedule mtschedule.Parameters
	// Callers is the number of callers that send requests at the same time.
	Callers int
	// Binary is the path of the gateway's program.
	Binary string
	// Directory takes settings and logs.
	Directory string
	// Untimed leaves out the promises that need processor time.
	Untimed bool
}

// run is a run under way.
type run struct {
	settings      Settings
	log           io.Writer
	began         time.Time
	ctx           context.Context
	ledger        *mtpromise.Ledger
	disturbances  *disturbances
	store         *mtfake.Store
	members       []*mtfleet.Member
	names         []string
	proxies       []*mtproxy.Proxy
	endpoints     []*endpoint
	endpointNames []string
	group         sync.WaitGroup
	// locks are held while a process of an instance is being replaced.
	locks   []sync.Mutex
	counter atomic.Int64

	mu        sync.Mutex
	version   int
	publishAt time.Duration
}

// Run plays a run and returns the promises that were not kept, with the number of requests by outcome.
func Run(ctx context.Context, settings Settings, log io.Writer) ([]mtpromise.Broken, map[string]int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		settings:     settings,
		log:          log,
		began:        time.Now(),
		ctx:          ctx,
		ledger:       mtpromise.NewLedger(settings.Untimed),
		disturbances: newDisturbances(),
		store:        mtfake.NewStore(),
		locks:        make([]sync.Mutex, settings.Schedule.Instances),
	}
	defer r.end()
	if err := r.build(); err != nil {
		return nil, nil, err
	}
	r.play()
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	return r.ledger.Broken(), r.ledger.Counts(), nil
}

func (r *run) now() time.Duration {
	return time.Since(r.began)
}

// number returns a number that it has not returned before.
func (r *run) number() int64 {
	return r.counter.Add(1)
}

func (r *run) sleep(length time.Duration) {
	select {
	case <-time.After(length):
	case <-r.ctx.Done():
	}
}

func leaving(number int) string {
	return fmt.Sprintf("leaving %d", number)
}

// address returns a loopback IP number that runs at the same time don't share.
func (r *run) address(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+r.settings.Seed%128, os.Getpid()%250, last)
}

// The last parts of the addresses of each kind.
const (
	instanceBase = 1
	proxyBase    = 65
	serverBase   = 129
	wayBase      = 192
	storeLast    = 255 - 1
	serverPort   = 18700
)

// build starts the store, the endpoints and the instances.
func (r *run) build() error {
	listener, err := net.Listen("tcp", r.address(storeLast)+":0")
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
	r.publish(0)
	for number := range r.settings.Schedule.Endpoints {
		if err := r.addEndpoint(number); err != nil {
			return err
		}
	}
	for number := range r.settings.Schedule.Instances {
		if err := r.addInstance(number, listener.Addr().String()); err != nil {
			return err
		}
	}
	for number := range r.members {
		r.awaitReady(number)
	}
	return nil
}

func (r *run) addEndpoint(number int) error {
	e := &endpoint{
		run:    r,
		number: number,
		listen: fmt.Sprintf("%s:%d", r.address(serverBase+number), serverPort),
		fake: mtfake.Endpoint{
			ID:      fmt.Sprintf("e-%d", number),
			Service: []string{"menu", "pay"}[number%2],
			Centre:  centre(number / 2),
			Slots:   slots,
			Born:    1,
		},
	}
	e.fake.Handle = e.handle
	if err := e.open(); err != nil {
		return err
	}
	proxy, err := mtproxy.NewProxy(fmt.Sprintf("%s:%d", r.address(wayBase+number), serverPort), e.listen)
	if err != nil {
		return err
	}
	e.proxy = proxy
	r.endpoints = append(r.endpoints, e)
	r.endpointNames = append(r.endpointNames, e.name())
	e.register("ready")
	return nil
}

func centre(number int) string {
	return fmt.Sprintf("z-%d", number%centres)
}

func (r *run) addInstance(number int, store string) error {
	instance := mtfake.Instance{
		IP:         r.address(instanceBase + number),
		Centre:     centre(number),
		Store:      store,
		RetrySlack: slackMost,
	}
	for other := range number {
		instance.Seeds = append(instance.Seeds, r.members[other].Instance.IP)
	}
	proxy, err := mtproxy.NewProxy(fmt.Sprintf("%s:%d", r.address(proxyBase+number), mtfake.CallsPort), instance.Calls())
	if err != nil {
		return err
	}
	member := mtfleet.NewMember(r.settings.Binary, r.settings.Directory, instance, func(detail string) {
		r.ledger.Break(r.now(), mtpromise.Recovers, "%s", detail)
	})
	r.members = append(r.members, member)
	r.names = append(r.names, fmt.Sprintf("instance %d", number))
	r.proxies = append(r.proxies, proxy)
	return member.Start()
}

// awaitReady waits until an instance says that it is ready.
func (r *run) awaitReady(number int) {
	client := http.Client{
		Timeout: askTimeout,
	}
	limit := r.now() + recoverLater
	for r.ctx.Err() == nil {
		response, err := client.Get("http://" + r.members[number].Instance.Directory() + mtname.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if r.now() > limit {
			r.ledger.Break(r.now(), mtpromise.Recovers, "instance %d is not ready", number)
			return
		}
		time.Sleep(readyPause)
	}
}

// publish puts the next version of the configuration into the store.
func (r *run) publish(more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.store.Put(mtname.ConfigurationTopic, mtname.ConfigurationKey, mtfake.Configuration(r.version, more))
	r.publishAt = r.now()
}

// publishOld puts the version before the newest into the store once more.
func (r *run) publishOld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(mtname.ConfigurationTopic, mtname.ConfigurationKey, mtfake.Configuration(max(1, r.version-1), 0))
	// A process that starts now knows no better until the next version.
	r.publishAt = math.MaxInt64
}

// published returns the newest version and since when it is published.
func (r *run) published() (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.publishAt
}

// play sends requests and injects the faults, then checks that all is well again.
func (r *run) play() {
	callers, stop := context.WithCancel(r.ctx)
	defer stop()
	var playing sync.WaitGroup
	for number := range r.settings.Callers {
		c := &caller{
			run:    r,
			number: number,
			random: rand.New(rand.NewPCG(r.settings.Seed, uint64(number)+1)),
		}
		playing.Go(func() { c.play(callers) })
	}
	for number := range r.members {
		playing.Go(func() { r.probe(callers, number) })
	}
	begin := r.now()
	for _, event := range mtschedule.NewSchedule(r.settings.Seed, r.settings.Schedule) {
		r.sleep(begin + event.At - r.now())
		if r.ctx.Err() != nil {
			break
		}
		fmt.Fprintf(r.log, "%7.3fs %s\n", r.now().Seconds(), event)
		r.group.Go(func() { r.inject(event) })
	}
	r.sleep(begin + r.settings.Schedule.Duration - r.now())
	r.group.Wait()
	r.checkRecovery()
	stop()
	playing.Wait()
	r.ledger.CheckRepeats(mtpromise.Budget{
		Part:   mtfake.RetryPart,
		Slack:  slackMost,
		Window: mtfake.RetryWindow * time.Second,
	}, r.now())
	r.checkEnds()
}

// checkRecovery waits until each instance serves again.
func (r *run) checkRecovery() {
	limit := r.now() + recoverTime
	if r.settings.Untimed {
		limit = r.now() + recoverLater
	}
	for number := range r.members {
		r.group.Go(func() {
			c := &caller{
				run:      r,
				number:   0xe000 + number,
				random:   rand.New(rand.NewPCG(r.settings.Seed, uint64(number))),
				instance: number,
			}
			defer c.drop()
			served := 0
			for served < servedInARow && r.ctx.Err() == nil {
				if r.now() > limit {
					r.ledger.Break(r.now(), mtpromise.Recovers, "instance %d does not serve again", number)
					return
				}
				if c.serves() {
					served++
				} else {
					served = 0
				}
			}
		})
	}
	r.group.Wait()
}

// serves sends one request of each service to the caller's instance and reports whether both are served.
func (c *caller) serves() bool {
	for _, idempotent := range []bool{true, false} {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.run.proxies[c.instance].Address(), dialTimeout)
			if err != nil {
				time.Sleep(readyPause)
				return false
			}
			c.use(conn)
		}
		c.count++
		if c.call(fmt.Sprintf("%04x%012x", c.number, c.count), idempotent) != http.StatusOK {
			time.Sleep(readyPause)
			return false
		}
	}
	return true
}

// checkEnds stops all instances in order.
func (r *run) checkEnds() {
	for number := range r.members {
		r.group.Go(func() {
			select {
			case <-r.members[number].Signal(syscall.SIGTERM):
			case <-time.After(mtfake.GraceSeconds*time.Second + exitSlack):
				r.ledger.Break(r.now(), mtpromise.Recovers, "instance %d has not ended in its time", number)
			}
		})
	}
	r.group.Wait()
}

// end ends all that the run has started.
func (r *run) end() {
	for _, member := range r.members {
		member.Kill()
	}
	for _, proxy := range r.proxies {
		proxy.Close()
	}
	for _, e := range r.endpoints {
		e.proxy.Close()
		e.close()
	}
}
