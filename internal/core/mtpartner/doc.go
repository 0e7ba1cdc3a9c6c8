// Package mtpartner chooses the instances that a round of gossip goes to.
package mtpartner
