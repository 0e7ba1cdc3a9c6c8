package mtquarantine

import "time"

// Verdict says whether a request may be sent.
type Verdict int

// The verdicts on a request.
const (
	// Clear means that nothing is known against the request.
	Clear Verdict = iota
	// Trial means that the request may be sent, and no equal one until Quarantine.EndTrial.
	Trial
	// Hold means that the request must wait for the end of a trial, or until Admission.Until.
	Hold
	// Reject means that the request would crash its endpoint.
	Reject
)

// Admission is the decision on a request.
type Admission struct {
	Verdict Verdict
	// Until is when a held request should ask again, or when the quarantine of a rejected one ends.
	Until time.Time
}
