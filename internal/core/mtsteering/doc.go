// Package mtsteering selects the entry instances that callers connect to and the instances that read the platform's store.
package mtsteering
