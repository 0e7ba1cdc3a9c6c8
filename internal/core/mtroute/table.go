// A table is immutable, so requests read it without a lock. The only exception are the counters of the traffic splits,
// which are atomic.

package mtroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/core/mttenant"
)

// Table is one version of the configuration.
type Table struct {
	// Version rises with each change that the operator makes.
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Tenants holds the tenants by key, or is nil if requests need no key.
	Tenants *mttenant.Directory
	// hosts maps a host in lower case to its routes, the longest prefix first.
	hosts map[string][]*Route
	count int
}

// Service is the configuration of a pool of endpoints.
type Service struct {
	Name string
	// Health is the path of the health check.
	Health string
	// Connections is the maximum number of connections that one endpoint accepts from all instances together.
	Connections int
	// WarmUp is how long an endpoint is cold after its start, and WarmUpRate the number of requests a second that a cold
	// endpoint takes from all instances together; without both, endpoints are never cold.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Limits bounds the sizes and the times of requests and connections.
type Limits struct {
	// Header and Body are the maximum sizes of a request's header and body in bytes.
	Header int
	Body   int64
	// HeaderTime is the time-out for the header of a request.
	HeaderTime time.Duration
	// Idle is the time-out of a connection without a request.
	Idle time.Duration
}

// maxHeaderBytes and maxBodyBytes bound the limits of a configuration, so that sums with them do not overflow.
const (
	maxHeaderBytes = 1 << 24
	maxBodyBytes   = 1 << 40
)

// NewTable returns a table of routes. Of several matching routes, the one with the longest prefix wins.
func NewTable(version uint64, services []Service, limits Limits, routes []*Route) *Table {
	table := &Table{
		Version:  version,
		Services: map[string]Service{},
		Limits:   limits,
		hosts:    map[string][]*Route{},
		count:    len(routes),
	}
	table.Limits.Header = min(limits.Header, maxHeaderBytes)
	table.Limits.Body = min(limits.Body, maxBodyBytes)
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		route.Attempts = min(route.Attempts, MaxAttempts)
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
	}
	for _, hostRoutes := range table.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return table
}

// Len returns the number of routes.
func (t *Table) Len() int {
	return t.count
}

// Find returns the route of a request, or nil. It ignores the case of the host and a port after it, and the query of
// the path.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := t.hosts[host]
	if !found {
		if name, _, hasPort := strings.Cut(host, ":"); hasPort {
			routes = t.hosts[name]
		}
	}
	path, _, _ = strings.Cut(path, "?")
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
