// Package mtloader is a stand-in for the callers of all teams.
package mtloader
