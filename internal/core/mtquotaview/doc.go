// Package mtquotaview tells from the view of one instance who owns the quota of a tenant, and which part of the fleet an owner
// may lease.
package mtquotaview
