// Package mtgossip carries rows, relayed records and questions about keys between entry instances.
package mtgossip
