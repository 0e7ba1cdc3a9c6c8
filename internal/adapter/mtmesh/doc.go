// Package mtmesh keeps the gateway instances informed of each other by datagrams.
package mtmesh
