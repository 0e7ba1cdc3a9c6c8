package mtsuspicion

import "time"

// sameCrashTime is the time within which two reports of a crash of one process are about the same crash.
const sameCrashTime = time.Second

// Crash is the crash of an endpoint that had a request in flight.
type Crash struct {
	// Process identifies the process of the endpoint.
	Process uint64
	At      time.Time
}

// isSame reports whether both are reports of one crash.
func (c Crash) isSame(other Crash) bool {
	return c.Process == other.Process && c.At.Sub(other.At).Abs() < sameCrashTime
}
