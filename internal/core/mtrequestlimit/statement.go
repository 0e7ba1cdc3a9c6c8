package mtrequestlimit

import "time"

// Statement is what an endpoint states about its limit in a response.
type Statement struct {
	// PerSecond is the number of requests a second that the endpoint takes from all instances together; it is valid when
	// IsLimited is set.
	PerSecond float64
	IsLimited bool
	// At is when an instance received the response.
	At time.Time
}

// isSame reports whether two statements name the same limit, or none.
func (s Statement) isSame(other Statement) bool {
	return s.IsLimited == other.IsLimited && (!s.IsLimited || s.PerSecond == other.PerSecond)
}
