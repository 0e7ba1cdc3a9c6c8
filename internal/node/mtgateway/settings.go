package mtgateway

import "time"

// Settings configure an entry instance.
type Settings struct {
	Instance string
	Centre   string
	// Calls, Ready and Directory are the listen addresses for requests of callers, for readiness checks and for the
	// directory, which names the addresses to connect to; two of them may be the same. Mesh is the address for the
	// other instances.
	Calls     string
	Ready     string
	Directory string
	Mesh      string
	// Relay is the listen address for requests that other instances pass on, or empty.
	Relay string
	// Metrics is the listen address of the metrics, or empty.
	Metrics string
	// Store is the address of the platform's store.
	Store string
	// Seeds are mesh addresses of other instances; they may be stale.
	Seeds []string
	// First is set when all instances start for the first time, so that no callers wait for them.
	First bool
	// Capacity is the processor share of the instance in cores.
	Capacity float64
	// Link is the bandwidth of the instance in megabits a second, or 0 when it is unknown.
	Link float64
	// Hold is the longest time for which callers may cache an answer of the directory.
	Hold time.Duration
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Stay is how long a leaving instance accepts requests from callers that still use its address.
	Stay time.Duration
	// RetryPart, RetrySlack and RetryWindow bound the extra attempts of all instances together.
	RetryPart   float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Probes bounds the load probes of one endpoint a second, over all instances.
	Probes float64
	// MemoryMB is the memory that the process may use, in megabytes, and MaxDescriptors the number of its descriptors; 0
	// means unknown.
	MemoryMB       float64
	MaxDescriptors int
	// ConfigurationWithin is how long after its acknowledgement a configuration must be in force.
	ConfigurationWithin time.Duration
	// EvacuateWithin is how long after its acknowledgement an evacuation must be in force.
	EvacuateWithin time.Duration
	Quota          QuotaBounds
	WarmUp         WarmUpBounds
}

// QuotaBounds bound the requests of a tenant over all instances: in each window, (rate x window + burst) x (1 + Overage) +
// Slack of them may run.
type QuotaBounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// WarmUpBounds bound the requests of all instances to a cold endpoint: in each second, the rate of the service x Overage +
// Slack of them may arrive.
type WarmUpBounds struct {
	Overage float64
	Slack   float64
}
