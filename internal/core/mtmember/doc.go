// Package mtmember keeps one entry instance's view of all entry instances, fed by gossip.
package mtmember
