// Package mtloadgenerator is a stand-in for the callers of all teams; it generates load and collects the results.
package mtloadgenerator
