// Package mtrendezvous assigns services to entry instances, and to each endpoint of a service one of these instances as its
// lead.
package mtrendezvous
