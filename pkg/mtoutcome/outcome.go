package mtoutcome

// Outcome states whether a call ran.
type Outcome string

// The outcomes of a call.
const (
	// NotRun means that the call did not run and never will.
	NotRun Outcome = "notrun"
	// Unknown means that the call may have run, may be running or may still run.
	Unknown Outcome = "unknown"
	// Answered means that the call ran and its endpoint answered.
	Answered Outcome = "answered"
)

// ReasonHeader is the name of the HTTP header that names the reason of a refused call.
const ReasonHeader = "Mangotack-Reason"

// Header is the name of the HTTP header that states the outcome of a refused call.
const Header = "Mangotack-Outcome"
