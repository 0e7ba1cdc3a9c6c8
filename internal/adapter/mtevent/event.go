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
	Started = Event{
		Number: 100,
		Level:  logrus.InfoLevel,
		Text:   "instance started",
	}
	Stopping = Event{
		Number: 101,
		Level:  logrus.InfoLevel,
		Text:   "instance is draining; callers are directed to other instances",
	}
	Stopped = Event{
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
	SettingsRefused = Event{
		Number: 105,
		Level:  logrus.ErrorLevel,
		Text:   "changed settings are invalid; the previous settings stay in effect",
	}

	LinesDropped = Event{
		Number: 110,
		Level:  logrus.WarnLevel,
		Text:   "log lines dropped because the reader of the log is too slow",
	}
	LinesSpared = Event{
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

	StoreLost = Event{
		Number: 220,
		Level:  logrus.WarnLevel,
		Text:   "platform store can't be read; reading is retried",
	}
	StoreBack = Event{
		Number: 221,
		Level:  logrus.InfoLevel,
		Text:   "platform store can be read again",
	}
	StoreForgot = Event{
		Number: 222,
		Level:  logrus.WarnLevel,
		Text:   "platform store no longer has the next record; the newest record of each key is read instead",
	}
	RecordUnread = Event{
		Number: 223,
		Level:  logrus.WarnLevel,
		Text:   "record can't be decoded; it is ignored and the known state stays in use",
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
	EndpointsAdmitted = Event{
		Number: 243,
		Level:  logrus.InfoLevel,
		Text:   "first list of endpoints admitted",
	}
	EndpointLeaves = Event{
		Number: 244,
		Level:  logrus.InfoLevel,
		Text:   "endpoint announced in a response that it is leaving; it gets no new requests",
	}
	EndpointRests = Event{
		Number: 245,
		Level:  logrus.InfoLevel,
		Text:   "endpoint asked with Retry-After for a pause; it gets no requests until the pause ends",
	}
	RestUnread = Event{
		Number: 246,
		Level:  logrus.WarnLevel,
		Text:   "endpoint sent a Retry-After that can't be parsed; logged once per endpoint",
	}
	EndpointGone = Event{
		Number: 242,
		Level:  logrus.InfoLevel,
		Text:   "endpoint removed",
	}

	MemberJoined = Event{
		Number: 300,
		Level:  logrus.InfoLevel,
		Text:   "entry instance joined or was replaced",
	}
	ObserverPaused = Event{
		Number: 301,
		Level:  logrus.WarnLevel,
		Text:   "this instance was paused; the pause does not count as silence of other instances",
	}
	MemberLost = Event{
		Number: 302,
		Level:  logrus.InfoLevel,
		Text:   "entry instance sent no heartbeat in time and is considered dead",
	}
	ClockStepped = Event{
		Number: 303,
		Level:  logrus.WarnLevel,
		Text:   "wall clock was stepped; the times in this log jump by the same amount",
	}
	RoleChanged = Event{
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
	CallLeft = Event{
		Number: 513,
		Level:  logrus.InfoLevel,
		Text:   "caller left before the answer",
	}
	CallRepeated = Event{
		Number: 514,
		Level:  logrus.InfoLevel,
		Text:   "request needs a further attempt on another endpoint",
	}

	CallPanicked = Event{
		Number: 500,
		Level:  logrus.ErrorLevel,
		Text:   "call handler panicked; the request is aborted",
	}
	ListenFailed = Event{
		Number: 501,
		Level:  logrus.ErrorLevel,
		Text:   "listener failed",
	}
)

// Catalogue lists all events in the order of their numbers.
var Catalogue = []Event{
	Started,
	Stopping,
	Stopped,
	InstanceReady,
	SettingsReloaded,
	SettingsRefused,
	LinesDropped,
	LinesSpared,
	LogUnreadable,
	LogReadable,
	LogRegressed,
	LogRecordsMissing,
	SnapshotLoaded,
	SnapshotAppended,
	PeerStateLoaded,
	InstanceListUnreadable,
	InstanceListReadable,
	StoreLost,
	StoreBack,
	StoreForgot,
	RecordUnread,
	ConfigurationApplied,
	EndpointAdmitted,
	EndpointDraining,
	EndpointGone,
	EndpointsAdmitted,
	EndpointLeaves,
	EndpointRests,
	RestUnread,
	MemberJoined,
	ObserverPaused,
	MemberLost,
	ClockStepped,
	RoleChanged,
	ChangeSettled,
	PublishRefused,
	CallPanicked,
	ListenFailed,
	AttemptFailed,
	CallRefused,
	CallAnswered,
	CallLeft,
	CallRepeated,
}

// Log writes the event to logger with its number, its text and fields.
func (e Event) Log(logger *logrus.Logger, fields logrus.Fields) {
	logger.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
