// Package mtcluster runs the stand-in for the platform and entry instances on loopback addresses within a test.
package mtcluster
