package mtevent

import (
	"github.com/sirupsen/logrus"
)

// Event is one kind of log line; docs/EVENTS.md documents all of them.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
}

// The events of an entry instance. A number is never reused for another event.
var (
	InstanceStarted = Event{
		Number: 100,
		Level:  logrus.InfoLevel,
		Text:   "instance started",
	}
	InstanceDraining = Event{
		Number: 101,
		Level:  logrus.InfoLevel,
		Text:   "instance is draining; callers are directed to other instances",
	}
	InstanceStopped = Event{
		Number: 102,
		Level:  logrus.InfoLevel,
		Text:   "instance stopped",
	}
	InstanceReady = Event{
		Number: 103,
		Level:  logrus.InfoLevel,
		Text:   "state is complete; calls are admitted",
	}
	SettingsReloaded = Event{
		Number: 104,
		Level:  logrus.InfoLevel,
		Text:   "settings reloaded; addresses stay unchanged until the next start",
	}
	SettingsInvalid = Event{
		Number: 105,
		Level:  logrus.ErrorLevel,
		Text:   "changed settings are invalid; the previous settings stay in effect",
	}

	LogLinesDropped = Event{
		Number: 110,
		Level:  logrus.WarnLevel,
		Text:   "log lines dropped because the reader of the log is too slow",
	}
	LogLinesOmitted = Event{
		Number: 111,
		Level:  logrus.InfoLevel,
		Text:   "log lines omitted to limit the log volume",
	}

	LogUnreadable = Event{
		Number: 200,
		Level:  logrus.WarnLevel,
		Text:   "platform log can't be read; reading is retried",
	}
	LogReadable = Event{
		Number: 201,
		Level:  logrus.InfoLevel,
		Text:   "platform log can be read again",
	}
	LogRegressed = Event{
		Number: 202,
		Level:  logrus.ErrorLevel,
		Text:   "platform log ends before the applied offset; its records are not applied",
	}
	LogRecordsMissing = Event{
		Number: 203,
		Level:  logrus.ErrorLevel,
		Text:   "platform log no longer has the next record, and no snapshot covers it",
	}
	SnapshotLoaded = Event{
		Number: 204,
		Level:  logrus.InfoLevel,
		Text:   "state restored from a snapshot",
	}
	SnapshotAppended = Event{
		Number: 205,
		Level:  logrus.InfoLevel,
		Text:   "snapshot appended to the platform log",
	}
	PeerStateLoaded = Event{
		Number: 206,
		Level:  logrus.DebugLevel,
		Text:   "state fetched from a peer",
	}
	InstanceListUnreadable = Event{
		Number: 210,
		Level:  logrus.WarnLevel,
		Text:   "instance list can't be read; the last list read stays in use",
	}
	InstanceListReadable = Event{
		Number: 211,
		Level:  logrus.InfoLevel,
		Text:   "instance list can be read again",
	}

	StoreUnreadable = Event{
		Number: 220,
		Level:  logrus.WarnLevel,
		Text:   "platform store can't be read; reading is retried",
	}
	StoreReadable = Event{
		Number: 221,
		Level:  logrus.InfoLevel,
		Text:   "platform store can be read again",
	}
	StoreRecordsMissing = Event{
		Number: 222,
		Level:  logrus.WarnLevel,
		Text:   "platform store no longer has the next record; the newest record of each key is read instead",
	}
	RecordUndecodable = Event{
		Number: 223,
		Level:  logrus.WarnLevel,
		Text:   "record can't be decoded; it is ignored and the known state stays in use",
	}
	StoreRestored = Event{
		Number: 224,
		Level:  logrus.WarnLevel,
		Text:   "platform store was restored from a copy; the newest records are read, and what is in force stays so until they are newer",
	}
	StoreAnswerOutdated = Event{
		Number: 225,
		Level:  logrus.WarnLevel,
		Text:   "platform store answered from before it was restored from a copy; the answer is ignored",
	}
	ConfigurationConflict = Event{
		Number: 231,
		Level:  logrus.WarnLevel,
		Text:   "restored platform store has another configuration under the version in force; it replaces the one in force",
	}
	ConfigurationApplied = Event{
		Number: 230,
		Level:  logrus.InfoLevel,
		Text:   "configuration in force",
	}
	EndpointAdmitted = Event{
		Number: 240,
		Level:  logrus.InfoLevel,
		Text:   "endpoint admitted",
	}
	EndpointDraining = Event{
		Number: 241,
		Level:  logrus.InfoLevel,
		Text:   "endpoint is draining; it gets no new requests",
	}
	InitialEndpointsAdmitted = Event{
		Number: 243,
		Level:  logrus.InfoLevel,
		Text:   "first list of endpoints admitted",
	}
	EndpointLeaving = Event{
		Number: 244,
		Level:  logrus.InfoLevel,
		Text:   "endpoint announced in a response that it is leaving; it gets no new requests",
	}
	EndpointPaused = Event{
		Number: 245,
		Level:  logrus.InfoLevel,
		Text:   "endpoint asked with Retry-After for a pause; it gets no requests until the pause ends",
	}
	RetryAfterUnparsable = Event{
		Number: 246,
		Level:  logrus.WarnLevel,
		Text:   "endpoint sent a Retry-After that can't be parsed; logged once per endpoint",
	}
	EndpointEntryOutdated = Event{
		Number: 247,
		Level:  logrus.WarnLevel,
		Text:   "entry of an endpoint was written before the one in use, which stays",
	}
	EndpointLapsed = Event{
		Number: 248,
		Level:  logrus.InfoLevel,
		Text:   "entry of an endpoint is missing after an interruption of the store; the endpoint stays in use until it has had time to register again",
	}
	EndpointLimited = Event{
		Number: 249,
		Level:  logrus.InfoLevel,
		Text:   "endpoint named a limit of requests a second for all instances together",
	}
	EndpointUnlimited = Event{
		Number: 250,
		Level:  logrus.InfoLevel,
		Text:   "endpoint no longer names a limit of requests a second",
	}
	RequestLimitUnparsable = Event{
		Number: 251,
		Level:  logrus.WarnLevel,
		Text:   "endpoint named a limit that can't be parsed, which changes nothing; logged once per endpoint",
	}
	ServiceLost = Event{
		Number: 252,
		Level:  logrus.WarnLevel,
		Text:   "no endpoint of a service is reached; its requests are passed on to other instances",
	}
	ServiceReached = Event{
		Number: 253,
		Level:  logrus.InfoLevel,
		Text:   "endpoints of a service are reached again",
	}
	EndpointRemoved = Event{
		Number: 242,
		Level:  logrus.InfoLevel,
		Text:   "endpoint removed",
	}

	MemberJoined = Event{
		Number: 300,
		Level:  logrus.InfoLevel,
		Text:   "entry instance joined or was replaced",
	}
	InstancePaused = Event{
		Number: 301,
		Level:  logrus.WarnLevel,
		Text:   "this instance was paused; the pause does not count as silence of other instances",
	}
	MemberConsideredDead = Event{
		Number: 302,
		Level:  logrus.InfoLevel,
		Text:   "entry instance sent no heartbeat in time and is considered dead",
	}
	WallClockStepped = Event{
		Number: 303,
		Level:  logrus.WarnLevel,
		Text:   "wall clock was stepped; the times in this log jump by the same amount",
	}
	RolesChanged = Event{
		Number: 310,
		Level:  logrus.InfoLevel,
		Text:   "instances with a role changed",
	}
	ChangeSettled = Event{
		Number: 400,
		Level:  logrus.InfoLevel,
		Text:   "published change read back from the log; its outcome is final",
	}
	PublishRefused = Event{
		Number: 401,
		Level:  logrus.WarnLevel,
		Text:   "publish request refused",
	}
	AttemptFailed = Event{
		Number: 510,
		Level:  logrus.InfoLevel,
		Text:   "endpoint did not serve the request",
	}
	CallRefused = Event{
		Number: 511,
		Level:  logrus.InfoLevel,
		Text:   "request refused or given up",
	}

	CallAnswered = Event{
		Number: 512,
		Level:  logrus.InfoLevel,
		Text:   "request answered by an endpoint",
	}
	CallAbandoned = Event{
		Number: 513,
		Level:  logrus.InfoLevel,
		Text:   "caller left before the answer",
	}
	ExtraAttemptNeeded = Event{
		Number: 514,
		Level:  logrus.InfoLevel,
		Text:   "request needs a further attempt on another endpoint",
	}

	RequestSuspected = Event{
		Number: 515,
		Level:  logrus.InfoLevel,
		Text:   "endpoint crashed while it had the request; equal requests are sent one at a time until one is answered",
	}
	RequestQuarantined = Event{
		Number: 516,
		Level:  logrus.WarnLevel,
		Text:   "several endpoints crashed while they had equal requests; further ones are refused for a time",
	}
	RequestCleared = Event{
		Number: 517,
		Level:  logrus.InfoLevel,
		Text:   "endpoint answered a request under which others had crashed; equal ones are sent again",
	}

	QuarantineNotStored = Event{
		Number: 518,
		Level:  logrus.WarnLevel,
		Text:   "store does not take or give the record of refused requests; after a restart of all instances they are found anew",
	}

	HelperAnswered = Event{
		Number: 519,
		Level:  logrus.InfoLevel,
		Text:   "request answered by the instance that it was passed on to",
	}

	ZoneEvacuated = Event{
		Number: 560,
		Level:  logrus.InfoLevel,
		Text:   "zone is evacuated; its endpoints get nothing more",
	}
	EvacuationEnded = Event{
		Number: 561,
		Level:  logrus.InfoLevel,
		Text:   "evacuation of a zone has ended; its endpoints count as cold until they state otherwise",
	}
	EvacuatedZoneUnknown = Event{
		Number: 562,
		Level:  logrus.WarnLevel,
		Text:   "no endpoint names the zone that is evacuated, so nothing changes",
	}
	EvacuationLost = Event{
		Number: 563,
		Level:  logrus.WarnLevel,
		Text:   "restored platform store lacks the record of an evacuation, which stays in force until the record is written and removed",
	}
	EndpointCold = Event{
		Number: 564,
		Level:  logrus.InfoLevel,
		Text:   "endpoint is cold; all instances together send it no more than the warm-up rate of its service",
	}
	EndpointWarm = Event{
		Number: 565,
		Level:  logrus.InfoLevel,
		Text:   "endpoint is warm",
	}
	QuotaExceeded = Event{
		Number: 570,
		Level:  logrus.InfoLevel,
		Text:   "requests of a tenant beyond its quota are refused; logged once a minute",
	}
	QuotaOwnersChanged = Event{
		Number: 571,
		Level:  logrus.InfoLevel,
		Text:   "instances that lease quotas have changed",
	}
	MemoryShort = Event{
		Number: 580,
		Level:  logrus.WarnLevel,
		Text:   "memory is short; requests that were not complete are refused",
	}
	ConnectionsLimited = Event{
		Number: 581,
		Level:  logrus.WarnLevel,
		Text:   "too many connections of callers; the least active ones are closed",
	}
	ResponseInvalid = Event{
		Number: 600,
		Level:  logrus.WarnLevel,
		Text:   "response is not valid HTTP/1.1; the connection is closed and the request may have run",
	}
	ResponseBrokenOff = Event{
		Number: 601,
		Level:  logrus.WarnLevel,
		Text:   "long response broke off after it was begun",
	}

	CallHandlerPanicked = Event{
		Number: 500,
		Level:  logrus.ErrorLevel,
		Text:   "call handler panicked; the request is aborted",
	}
	ListenerFailed = Event{
		Number: 501,
		Level:  logrus.ErrorLevel,
		Text:   "listener failed",
	}
)

// All lists all events in the order of their numbers.
var All = []Event{
	InstanceStarted,
	InstanceDraining,
	InstanceStopped,
	InstanceReady,
	SettingsReloaded,
	SettingsInvalid,
	LogLinesDropped,
	LogLinesOmitted,
	LogUnreadable,
	LogReadable,
	LogRegressed,
	LogRecordsMissing,
	SnapshotLoaded,
	SnapshotAppended,
	PeerStateLoaded,
	InstanceListUnreadable,
	InstanceListReadable,
	StoreUnreadable,
	StoreReadable,
	StoreRecordsMissing,
	RecordUndecodable,
	StoreRestored,
	StoreAnswerOutdated,
	ConfigurationApplied,
	ConfigurationConflict,
	EndpointAdmitted,
	EndpointDraining,
	EndpointRemoved,
	InitialEndpointsAdmitted,
	EndpointLeaving,
	EndpointPaused,
	RetryAfterUnparsable,
	EndpointEntryOutdated,
	EndpointLapsed,
	EndpointLimited,
	EndpointUnlimited,
	RequestLimitUnparsable,
	ServiceLost,
	ServiceReached,
	MemberJoined,
	InstancePaused,
	MemberConsideredDead,
	WallClockStepped,
	RolesChanged,
	ChangeSettled,
	PublishRefused,
	CallHandlerPanicked,
	ListenerFailed,
	AttemptFailed,
	CallRefused,
	CallAnswered,
	CallAbandoned,
	ExtraAttemptNeeded,
	RequestSuspected,
	RequestQuarantined,
	RequestCleared,
	QuarantineNotStored,
	HelperAnswered,
	ZoneEvacuated,
	EvacuationEnded,
	EvacuatedZoneUnknown,
	EvacuationLost,
	EndpointCold,
	EndpointWarm,
	QuotaExceeded,
	QuotaOwnersChanged,
	MemoryShort,
	ConnectionsLimited,
	ResponseInvalid,
	ResponseBrokenOff,
}

// Log writes the event to logger with its number, its text and fields.
func (e Event) Log(logger *logrus.Logger, fields logrus.Fields) {
	logger.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
