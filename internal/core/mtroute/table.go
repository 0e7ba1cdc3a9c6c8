// A table is one version of the configuration. It never changes, so requests read it without a lock; the counters of the
// splits are the only exception and are atomic.

package mtroute

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table is one version of the configuration.
type Table struct {
	// Version rises with each change that the operator makes.
	Version  uint64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route
	count    int
}

// Service is what the configuration says of a pool of endpoints.
type Service struct {
	Name string
	// Health is the path of the health check.
	Health string
	// Connections is the most that one endpoint accepts from all instances together.
	Connections int
}

// Limits bound what a caller may send.
type Limits struct {
	// Header and Body are sizes in bytes.
	Header int
	Body   int64
	// HeaderTime is how long a caller may take to send the header.
	HeaderTime time.Duration
	// Idle is how long a connection may stay without a request.
	Idle time.Duration
}

// NewTable returns a table of routes; longer prefixes are tried first.
func NewTable(version uint64, services []Service, limits Limits, routes []*Route) *Table {
	table := &Table{
		Version:  version,
		Services: map[string]Service{},
		Limits:   limits,
		hosts:    map[string][]*Route{},
		count:    len(routes),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
	}
	for _, list := range table.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return table
}

// Len returns the number of routes.
func (t *Table) Len() int {
	return t.count
}

// Find returns the route of a request, or nil; a port behind the host is ignored.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	list, found := t.hosts[host]
	if !found {
		if name, _, hasPort := strings.Cut(host, ":"); hasPort {
			list = t.hosts[name]
		}
	}
	path, _, _ = strings.Cut(path, "?")
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
