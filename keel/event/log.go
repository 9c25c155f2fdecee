package event

import (
	"io"
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields holds the values of one event.
type Fields = logrus.Fields

// Log writes numbered events; the zero value and nil discard them.
type Log struct {
	// Logger receives the events.
	Logger *logrus.Logger
	// Base holds the fields that are added to every event.
	Base Fields

	// admit reports whether the rate limit lets a line of the level be written; nil means no limit.
	admit func(logrus.Level) bool
}

var byID = indexByID()

func indexByID() map[ID]Definition {
	index := make(map[ID]Definition)
	for _, d := range All() {
		index[d.ID] = d
	}
	return index
}

// Enabled reports whether the logger's level lets the event be written.
func (l *Log) Enabled(id ID) bool {
	return l != nil && l.Logger != nil && l.Logger.IsLevelEnabled(byID[id].Level)
}

// Write logs the event with its fields at the level of its definition.
func (l *Log) Write(id ID, fields Fields) {
	if !l.Enabled(id) {
		return
	}
	if l.admit != nil && !l.admit(byID[id].Level) {
		return
	}
	l.write(id, fields)
}

// write logs the event regardless of the rate limit.
func (l *Log) write(id ID, fields Fields) {
	definition := byID[id]
	data := make(Fields, len(l.Base)+len(fields)+1)
	maps.Copy(data, l.Base)
	maps.Copy(data, fields)
	data["event"] = int(id)
	(&logrus.Entry{Logger: l.Logger, Data: data}).Log(definition.Level, definition.Name)
}

// New returns a log that writes to out as JSON lines, or as text when asJSON is false.
func New(out io.Writer, asJSON bool) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{TimestampFormat: time.RFC3339Nano, FullTimestamp: true})
	if asJSON {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "name"}})
	}
	return &Log{Logger: logger}
}

// Name returns the name of the event with the number, empty if there is no such event.
func Name(id ID) string { return byID[id].Name }
