// Package mtquotas holds and leases the quotas of tenants at one instance, with messages between the instances.
package mtquotas
