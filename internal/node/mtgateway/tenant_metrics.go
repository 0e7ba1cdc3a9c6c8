package mtgateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/core/mttenant"
)

const (
	tenantRequestsMetric = "mangotack_gateway_tenant_requests_total"
	tenantWaitMetric     = "mangotack_gateway_tenant_wait_seconds"
)

// countTenantRequest counts a request of a tenant, which may be nil, by what its caller was told.
func (m *gatewayMetrics) countTenantRequest(tenant *mttenant.Tenant, outcome string) {
	if tenant == nil {
		return
	}
	m.set.GetOrCreateCounter(
		fmt.Sprintf(tenantRequestsMetric+`{tenant=%q,outcome=%q}`, tenant.Label(), outcome),
	).Inc()
}

// observeTenantWait records how long a request of a tenant, which may be nil, waited for its endpoint.
func (m *gatewayMetrics) observeTenantWait(tenant *mttenant.Tenant, wait time.Duration) {
	if tenant == nil {
		return
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(tenantWaitMetric+`{tenant=%q}`, tenant.Label())).Update(wait.Seconds())
}

// setTenants removes the metrics of tenants that no longer have one of their own, so that their number stays bounded.
func (m *gatewayMetrics) setTenants(directory *mttenant.Directory) {
	labels := directory.Labels()
	for _, name := range m.set.ListMetricNames() {
		if !strings.HasPrefix(name, tenantRequestsMetric) && !strings.HasPrefix(name, tenantWaitMetric) {
			continue
		}
		isCurrent := false
		for label := range labels {
			isCurrent = isCurrent || strings.Contains(name, fmt.Sprintf(`{tenant=%q`, label))
		}
		if !isCurrent {
			m.set.UnregisterMetric(name)
		}
	}
}

// count counts the request by what its caller was told.
func (a *activeRequest) count(outcome string, elapsed time.Duration) {
	a.gateway.metrics.countRequest(a.service, outcome, elapsed)
	a.gateway.metrics.countTenantRequest(a.authorization.tenant, outcome)
}
