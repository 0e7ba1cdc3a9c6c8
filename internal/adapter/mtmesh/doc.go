// Package mtmesh exchanges gossip between entry instances over UDP.
package mtmesh
