// Package mtgossip exchanges membership rows with other entry instances, catches up on records from them and asks them
// for the outcomes of keys.
package mtgossip
