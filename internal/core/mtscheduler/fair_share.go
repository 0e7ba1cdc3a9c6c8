// The load pattern: a hot tenant sends several times its usual requests, within its quota, while the service has room for
// part of them only. Among requests of equal priority, two rules divide the service between tenants:
//
// The order is that of start-time fair queueing. Each request gets a start tag, which is the virtual time at which its
// tenant's earlier requests would have ended if the tenant had its share of the service for itself. The virtual time is
// the highest start tag of the requests that were assigned. A request is admitted by the number of requests that go
// before it, so a hot tenant is refused because of its own requests. Requests of one tenant keep their order by objective:
// a request that is more urgent than earlier ones of its tenant takes the first of their tags, and they move back by one.
//
// Where requests are refused, the queue is short, and its order alone divides little. Therefore the work that was recently
// admitted is divided between tenants by max-min fairness, and a tenant that has got more than its part waits no longer:
// its requests take only slots that are free.
//
// A tenant may also get less than its part because its requests can't meet their objective and are refused first. Those
// of a tenant of which a much smaller fraction is served than of all may wait nevertheless.
//
// Until the first request with a tenant arrives, nothing is computed and all tags are zero.

package mtscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fairShareTimeout is how long after the last request with a tenant the shares are forgotten.
	fairShareTimeout = 30 * time.Second
	// usageHalfLife halves the weight of a request in the usage of its tenant.
	usageHalfLife = 3 * time.Second
	// shareInterval is the time between two divisions of the admitted work between the tenants.
	shareInterval = 200 * time.Millisecond
	// minRefusedWorkRatio is the ratio of the work that is refused, from which on tenants have parts.
	minRefusedWorkRatio = 0.02
	// maxShareExcess is the ratio by which a tenant may exceed its part, and maxShareExcessRequests the number of requests
	// that it may exceed it by in addition: the usage of a small tenant varies by whole requests.
	maxShareExcess         = 0.1
	maxShareExcessRequests = 2
	// minServedRatio is the lowest ratio of the fraction of a tenant's requests that is served to that of all tenants of
	// equal priority. The required ratio is 0.25; the margin is for the time until the fraction recovers.
	minServedRatio = 0.5
	// minCountedRequests is the number of recent requests from which on the fraction of a tenant counts.
	minCountedRequests = 2
	// forgottenRequests is the number of recent requests below which the usage of a tenant is forgotten.
	forgottenRequests = 0.01
)

// fairShare divides the queue and the slots of a service between tenants.
type fairShare struct {
	// tenantSeenAt is when the last request with a tenant arrived; zero while no share is computed.
	tenantSeenAt time.Time
	classes      map[shareClass]*classShares
	// groups are the tenants of each priority.
	groups    map[int]*shareGroup
	lastOrder uint64
}

// shareClass is what requests have in common between which shares apply. Others are ordered by urgency.
type shareClass struct {
	missesObjective bool
	tenantPriority  int
	priority        int
}

// classShares are the tags of one class.
type classShares struct {
	virtualTime float64
	// finishTags are the ends of the last requests of the tenants in virtual time.
	finishTags map[string]float64
}

// shareGroup is the tenants of one priority.
type shareGroup struct {
	total   usage
	tenants map[string]*usage
	// level is the work for each unit of weight that a tenant may get, and dividedAt when it was last computed.
	level     float64
	dividedAt time.Time
}

// usage counts recent requests and those of them that were refused, and their work in seconds.
type usage struct {
	weight      float64
	arrived     float64
	refused     float64
	arrivedWork float64
	refusedWork float64
	updatedAt   time.Time
}

func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.updatedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(usageHalfLife))
		u.arrived *= factor
		u.refused *= factor
		u.arrivedWork *= factor
		u.refusedWork *= factor
		u.updatedAt = now
	}
}

// servedFraction returns the fraction of the requests that were not refused.
func (u *usage) servedFraction() float64 {
	return 1 - u.refused/max(u.arrived, 1)
}

func (u *usage) admittedWork() float64 {
	return max(0, u.arrivedWork-u.refusedWork)
}

func (f *fairShare) isActive() bool {
	return !f.tenantSeenAt.IsZero()
}

// recordArrival counts a request that arrives, with its expected processing time; isQueueEmpty is set if no other waits.
func (f *fairShare) recordArrival(request *Request, work time.Duration, isQueueEmpty bool, now time.Time) {
	switch {
	case request.Tenant != "":
		if !f.isActive() {
			f.classes = map[shareClass]*classShares{}
			f.groups = map[int]*shareGroup{}
		}
		f.tenantSeenAt = now
	case !f.isActive():
		return
	case isQueueEmpty && now.Sub(f.tenantSeenAt) > fairShareTimeout:
		*f = fairShare{}
		return
	}
	request.work = work.Seconds()
	if request.IsHedge {
		return
	}
	group, own := f.usageOf(request, now)
	for _, usage := range []*usage{own, &group.total} {
		usage.arrived++
		usage.arrivedWork += request.work
	}
	own.weight = request.weight()
	if now.Sub(group.dividedAt) >= shareInterval {
		f.divide(group, now)
	}
}

// recordRefusal counts a request that was refused.
func (f *fairShare) recordRefusal(request *Request, now time.Time) {
	if !f.isActive() || request.IsHedge {
		return
	}
	group, own := f.usageOf(request, now)
	for _, usage := range []*usage{own, &group.total} {
		usage.refused++
		usage.refusedWork += request.work
	}
}

// usageOf returns the tenants that share with the request's tenant, and the usage of that tenant.
func (f *fairShare) usageOf(request *Request, now time.Time) (*shareGroup, *usage) {
	group := f.groups[request.TenantPriority]
	if group == nil {
		group = &shareGroup{
			tenants: map[string]*usage{},
			level:   math.Inf(1),
		}
		f.groups[request.TenantPriority] = group
	}
	own := group.tenants[request.Tenant]
	if own == nil {
		own = &usage{
			weight: request.weight(),
		}
		group.tenants[request.Tenant] = own
	}
	own.decay(now)
	group.total.decay(now)
	return group, own
}

// divide computes the level up to which the tenants of a group get what they ask for, so that the sum is the work that was
// admitted. It also forgets tenants without recent requests.
func (f *fairShare) divide(group *shareGroup, now time.Time) {
	group.dividedAt = now
	group.level = math.Inf(1)
	tenants := make([]*usage, 0, len(group.tenants))
	weight := 0.0
	for name, usage := range group.tenants {
		usage.decay(now)
		if usage.arrived < forgottenRequests {
			delete(group.tenants, name)
			continue
		}
		tenants = append(tenants, usage)
		weight += usage.weight
	}
	for _, shares := range f.classes {
		shares.prune(len(group.tenants))
	}
	work := group.total.admittedWork()
	if work > (1-minRefusedWorkRatio)*group.total.arrivedWork {
		return
	}
	slices.SortFunc(tenants, func(a, b *usage) int {
		return cmp.Compare(a.arrivedWork*b.weight, b.arrivedWork*a.weight)
	})
	for _, usage := range tenants {
		if usage.arrivedWork/usage.weight > work/weight {
			group.level = work / weight
			return
		}
		work -= usage.arrivedWork
		weight -= usage.weight
	}
}

// prune forgets tags that are not later than the virtual time, which a tenant without a tag gets as well.
func (c *classShares) prune(tenants int) {
	if len(c.finishTags) <= 2*tenants {
		return
	}
	for tenant, finish := range c.finishTags {
		if finish <= c.virtualTime {
			delete(c.finishTags, tenant)
		}
	}
}

// exceedsShare reports whether the request's tenant has recently got more than its part.
func (f *fairShare) exceedsShare(request *Request, now time.Time) bool {
	if !f.isActive() {
		return false
	}
	group, own := f.usageOf(request, now)
	// The request itself has been counted as arrived.
	admitted := own.admittedWork() - request.work
	return admitted > (1+maxShareExcess)*group.level*own.weight+maxShareExcessRequests*request.work
}

// isUnderserved reports whether a much smaller fraction of the requests of the request's tenant is served than of all
// tenants of equal priority.
func (f *fairShare) isUnderserved(request *Request, now time.Time) bool {
	if !f.isActive() || request.Tenant == "" {
		return false
	}
	group, own := f.usageOf(request, now)
	return own.arrived >= minCountedRequests && own.servedFraction() < minServedRatio*group.total.servedFraction()
}

// minTenantWeight and maxTenantWeight bound the weights, so that sums of tags stay finite.
const (
	minTenantWeight = 1e-3
	maxTenantWeight = 1e9
)

// weight returns the weight of the request's tenant.
func (r *Request) weight() float64 {
	if r.TenantWeight > 0 {
		return max(minTenantWeight, min(r.TenantWeight, maxTenantWeight))
	}
	return 1
}

func (f *fairShare) sharesOf(request *Request) *classShares {
	class := request.shareClass()
	shares := f.classes[class]
	if shares == nil {
		shares = &classShares{
			finishTags: map[string]float64{},
		}
		f.classes[class] = shares
	}
	return shares
}

func (r *Request) shareClass() shareClass {
	return shareClass{
		missesObjective: r.missesObjective,
		tenantPriority:  r.TenantPriority,
		priority:        r.Priority,
	}
}

// isOfSameTenant reports whether two requests share one part of the service.
func (r *Request) isOfSameTenant(other *Request) bool {
	return r.Tenant == other.Tenant && r.shareClass() == other.shareClass()
}

// preview sets the tag that a request would wait with.
func (f *fairShare) preview(request *Request, queue []*Request) {
	if !f.isActive() {
		return
	}
	shares := f.sharesOf(request)
	request.startTag = max(shares.virtualTime, shares.finishTags[request.Tenant])
	request.tagOrder = f.lastOrder + 1
	for _, waiting := range queue {
		if waiting.isOfSameTenant(request) && compareObjective(request, waiting) < 0 {
			request.startTag, request.tagOrder = waiting.startTag, waiting.tagOrder
			return
		}
	}
}

// charge gives a request that begins to wait the next tag of its tenant.
func (f *fairShare) charge(request *Request) {
	if !f.isActive() {
		request.startTag, request.tagOrder, request.virtualCost = 0, 0, 0
		return
	}
	shares := f.sharesOf(request)
	f.lastOrder++
	request.startTag = max(shares.virtualTime, shares.finishTags[request.Tenant])
	request.tagOrder = f.lastOrder
	request.virtualCost = request.work / request.weight()
	shares.finishTags[request.Tenant] = request.startTag + request.virtualCost
}

// refund takes back the charge of a request that leaves the queue without having been assigned.
func (f *fairShare) refund(request *Request) {
	if !f.isActive() || request.virtualCost == 0 {
		return
	}
	shares := f.sharesOf(request)
	shares.finishTags[request.Tenant] -= request.virtualCost
	request.virtualCost = 0
}

// recordStart advances the virtual time to the tag of a request that was assigned.
func (f *fairShare) recordStart(request *Request) {
	if !f.isActive() {
		return
	}
	shares := f.sharesOf(request)
	shares.virtualTime = max(shares.virtualTime, request.startTag)
	request.virtualCost = 0
}

// moveAheadInTenant moves the request at a position of the queue before those of its tenant that are less urgent. They
// change places, so that the order of the tags in the queue stays.
func moveAheadInTenant(queue []*Request, position int) {
	request := queue[position]
	for i := position - 1; i >= 0 && queue[i].compareClass(request) == 0; i-- {
		other := queue[i]
		if other.Tenant != request.Tenant {
			continue
		}
		if compareObjective(other, request) <= 0 {
			return
		}
		queue[i], queue[position] = request, other
		request.startTag, other.startTag = other.startTag, request.startTag
		request.tagOrder, other.tagOrder = other.tagOrder, request.tagOrder
		position = i
	}
}

// compareTag orders requests of equal urgency by the shares of their tenants.
func (r *Request) compareTag(other *Request) int {
	return cmp.Or(cmp.Compare(r.startTag, other.startTag), cmp.Compare(r.tagOrder, other.tagOrder))
}

// compareObjective orders requests of one tenant.
func compareObjective(a, b *Request) int {
	return cmp.Or(a.Objective.Compare(b.Objective), cmp.Compare(a.ID, b.ID))
}
