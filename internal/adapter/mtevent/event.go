package mtevent

import (
	"github.com/sirupsen/logrus"
)

// Event is one kind of line in the log; docs/EVENTS.md lists them all.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
}

// The events of an entry instance. A number is never used again for another event.
var (
	Started          = Event{Number: 100, Level: logrus.InfoLevel, Text: "instance started"}
	Stopping         = Event{Number: 101, Level: logrus.InfoLevel, Text: "instance leaves, callers are sent elsewhere"}
	Stopped          = Event{Number: 102, Level: logrus.InfoLevel, Text: "instance stopped"}
	Ready            = Event{Number: 103, Level: logrus.InfoLevel, Text: "state complete, calls are admitted"}
	SettingsReloaded = Event{Number: 104, Level: logrus.InfoLevel, Text: "settings reloaded; addresses hold until the next start"}
	SettingsRefused  = Event{Number: 105, Level: logrus.ErrorLevel, Text: "changed settings are not valid, the old ones hold"}

	LinesDropped = Event{Number: 110, Level: logrus.WarnLevel, Text: "log lines dropped, the reader of the log is slow"}
	LinesSpared  = Event{Number: 111, Level: logrus.InfoLevel, Text: "ordinary lines left out to bound the volume"}

	LogLost      = Event{Number: 200, Level: logrus.WarnLevel, Text: "platform log can't be read"}
	LogBack      = Event{Number: 201, Level: logrus.InfoLevel, Text: "platform log can be read again"}
	LogBackwards = Event{Number: 202, Level: logrus.ErrorLevel, Text: "platform log went backwards, its records are not applied"}
	LogForgot    = Event{Number: 203, Level: logrus.ErrorLevel, Text: "platform log no longer has the next record and no snapshot covers it"}
	SnapshotRead = Event{Number: 204, Level: logrus.InfoLevel, Text: "state taken from a snapshot"}
	SnapshotSent = Event{Number: 205, Level: logrus.InfoLevel, Text: "snapshot appended to the platform log"}
	CaughtUp     = Event{Number: 206, Level: logrus.DebugLevel, Text: "state taken from a peer"}
	ListLost     = Event{Number: 210, Level: logrus.WarnLevel, Text: "instance list can't be read, the last one stays in use"}
	ListBack     = Event{Number: 211, Level: logrus.InfoLevel, Text: "instance list can be read again"}

	StoreLost            = Event{Number: 220, Level: logrus.WarnLevel, Text: "platform store can't be read"}
	StoreBack            = Event{Number: 221, Level: logrus.InfoLevel, Text: "platform store can be read again"}
	StoreForgot          = Event{Number: 222, Level: logrus.WarnLevel, Text: "platform store no longer has the next record, the newest of each key are read"}
	RecordUnread         = Event{Number: 223, Level: logrus.WarnLevel, Text: "record can't be read, what is known holds"}
	ConfigurationApplied = Event{Number: 230, Level: logrus.InfoLevel, Text: "configuration in force"}
	EndpointAdmitted     = Event{Number: 240, Level: logrus.InfoLevel, Text: "endpoint admitted"}
	EndpointDraining     = Event{Number: 241, Level: logrus.InfoLevel, Text: "endpoint drains, it gets no new requests"}
	EndpointsAdmitted    = Event{Number: 243, Level: logrus.InfoLevel, Text: "first list of endpoints admitted"}
	EndpointLeaves       = Event{Number: 244, Level: logrus.InfoLevel, Text: "endpoint says in an answer that it leaves, it gets no new requests"}
	EndpointRests        = Event{Number: 245, Level: logrus.InfoLevel, Text: "endpoint wants no requests for a time"}
	RestUnread           = Event{Number: 246, Level: logrus.WarnLevel, Text: "endpoint's Retry-After can't be read, told once"}
	EndpointGone         = Event{Number: 242, Level: logrus.InfoLevel, Text: "endpoint gone"}

	MemberJoined   = Event{Number: 300, Level: logrus.InfoLevel, Text: "entry instance joined or was replaced"}
	ObserverPaused = Event{Number: 301, Level: logrus.WarnLevel, Text: "this instance was paused, silence of others is not counted for that time"}
	MemberLost     = Event{Number: 302, Level: logrus.InfoLevel, Text: "entry instance is silent and held for dead"}
	ClockStepped   = Event{Number: 303, Level: logrus.WarnLevel, Text: "time of day was set, times in this log jump with it"}
	RoleChanged    = Event{Number: 310, Level: logrus.InfoLevel, Text: "instances with a role changed"}
	Published      = Event{Number: 400, Level: logrus.InfoLevel, Text: "change settled"}
	PublishRefused = Event{Number: 401, Level: logrus.WarnLevel, Text: "change refused"}
	AttemptFailed  = Event{Number: 510, Level: logrus.InfoLevel, Text: "endpoint did not serve the request"}
	CallRefused    = Event{Number: 511, Level: logrus.InfoLevel, Text: "request refused or given up"}

	CallAnswered = Event{Number: 512, Level: logrus.InfoLevel, Text: "request answered by an endpoint"}
	CallLeft     = Event{Number: 513, Level: logrus.InfoLevel, Text: "caller left before the answer"}
	CallRepeated = Event{Number: 514, Level: logrus.InfoLevel, Text: "request needs a further endpoint"}

	CallPanicked = Event{Number: 500, Level: logrus.ErrorLevel, Text: "handling of a call panicked"}
	ListenFailed = Event{Number: 501, Level: logrus.ErrorLevel, Text: "listener failed"}
)

// Catalogue lists all events by number.
var Catalogue = []Event{
	Started, Stopping, Stopped, Ready, SettingsReloaded, SettingsRefused, LinesDropped, LinesSpared,
	LogLost, LogBack, LogBackwards, LogForgot, SnapshotRead, SnapshotSent, CaughtUp, ListLost, ListBack,
	StoreLost, StoreBack, StoreForgot, RecordUnread,
	ConfigurationApplied, EndpointAdmitted, EndpointDraining, EndpointGone, EndpointsAdmitted, EndpointLeaves, EndpointRests, RestUnread,
	MemberJoined, ObserverPaused, MemberLost, ClockStepped, RoleChanged,
	Published, PublishRefused,
	CallPanicked, ListenFailed, AttemptFailed, CallRefused, CallAnswered, CallLeft, CallRepeated,
}

// Log writes the event with its fields.
func (e Event) Log(logger *logrus.Logger, fields logrus.Fields) {
	logger.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
