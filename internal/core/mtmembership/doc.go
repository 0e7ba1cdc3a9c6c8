// Package mtmembership keeps the membership view of one entry instance: the entry instances that it knows through gossip,
// and whether they are alive.
package mtmembership
