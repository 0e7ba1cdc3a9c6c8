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
	Started        = Event{Number: 100, Level: logrus.InfoLevel, Text: "instance started"}
	Stopping       = Event{Number: 101, Level: logrus.InfoLevel, Text: "instance leaves, callers are sent elsewhere"}
	Stopped        = Event{Number: 102, Level: logrus.InfoLevel, Text: "instance stopped"}
	Ready          = Event{Number: 103, Level: logrus.InfoLevel, Text: "state complete, calls are admitted"}
	LogLost        = Event{Number: 200, Level: logrus.WarnLevel, Text: "platform log can't be read"}
	LogBack        = Event{Number: 201, Level: logrus.InfoLevel, Text: "platform log can be read again"}
	LogBackwards   = Event{Number: 202, Level: logrus.ErrorLevel, Text: "platform log went backwards, its records are not applied"}
	LogForgot      = Event{Number: 203, Level: logrus.ErrorLevel, Text: "platform log no longer has the next record and no snapshot covers it"}
	SnapshotRead   = Event{Number: 204, Level: logrus.InfoLevel, Text: "state taken from a snapshot"}
	SnapshotSent   = Event{Number: 205, Level: logrus.InfoLevel, Text: "snapshot appended to the platform log"}
	CaughtUp       = Event{Number: 206, Level: logrus.DebugLevel, Text: "state taken from a peer"}
	ListLost       = Event{Number: 210, Level: logrus.WarnLevel, Text: "instance list can't be read, the last one stays in use"}
	ListBack       = Event{Number: 211, Level: logrus.InfoLevel, Text: "instance list can be read again"}
	MemberJoined   = Event{Number: 300, Level: logrus.InfoLevel, Text: "entry instance joined or was replaced"}
	ObserverPaused = Event{Number: 301, Level: logrus.WarnLevel, Text: "this instance was paused, silence of others is not counted for that time"}
	Published      = Event{Number: 400, Level: logrus.InfoLevel, Text: "change settled"}
	PublishRefused = Event{Number: 401, Level: logrus.WarnLevel, Text: "change refused"}
	CallPanicked   = Event{Number: 500, Level: logrus.ErrorLevel, Text: "handling of a call panicked"}
	ListenFailed   = Event{Number: 501, Level: logrus.ErrorLevel, Text: "listener failed"}
)

// Catalogue lists all events by number.
var Catalogue = []Event{
	Started, Stopping, Stopped, Ready,
	LogLost, LogBack, LogBackwards, LogForgot, SnapshotRead, SnapshotSent, CaughtUp, ListLost, ListBack,
	MemberJoined, ObserverPaused,
	Published, PublishRefused,
	CallPanicked, ListenFailed,
}

// Log writes the event with its fields.
func (e Event) Log(logger *logrus.Logger, fields logrus.Fields) {
	logger.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
