package mtgateway

import "time"

// Settings are what an instance must know at its start.
type Settings struct {
	Instance string
	Centre   string
	// Calls, Ready and Directory are the addresses for callers, for checks of the instance, and for callers that ask where
	// to connect; two of them may be the same. Mesh is the address for the other instances.
	Calls     string
	Ready     string
	Directory string
	Mesh      string
	// Metrics is the address of the metrics, or empty.
	Metrics string
	// Store is the address of the platform's store.
	Store string
	// Seeds are mesh addresses of other instances; they may be stale.
	Seeds []string
	// First is set when all instances start for the first time, so that no callers wait for them.
	First bool
	// Capacity is the processor share of the instance in cores.
	Capacity float64
	// Link is the bandwidth of the instance in megabits a second, or 0 when it is not known.
	Link float64
	// Hold is the longest time for which callers may keep an answer of the directory.
	Hold time.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Stay is how long a leaving instance takes calls of callers that still hold its address.
	Stay time.Duration
	// RetryPart, RetrySlack and RetryWindow bound the repeats of all instances together.
	RetryPart   float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Probes is the most looks at one endpoint a second, over all instances.
	Probes float64
}
