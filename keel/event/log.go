package event

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

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
	if l.admits(id) {
		l.write(id, fields)
	}
}

// WriteFunc is Write for frequent events: it calls fields only if the level and the rate limit let the line be written.
func (l *Log) WriteFunc(id ID, fields func() Fields) {
	if l.admits(id) {
		l.write(id, fields())
	}
}

// admits reports whether the level and the rate limit let the event be written.
func (l *Log) admits(id ID) bool {
	return l.Enabled(id) && (l.admit == nil || l.admit(byID[id].Level))
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
		logger.SetFormatter(jsonFormatter{})
	}
	return &Log{Logger: logger}
}

// jsonFormatter formats events as JSON lines like logrus.JSONFormatter, which takes several times as long because it
// encodes all values by reflection.
type jsonFormatter struct{}

// Format returns the line of the entry.
func (jsonFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	out := entry.Buffer
	if out == nil {
		out = new(bytes.Buffer)
	}
	line := append(out.AvailableBuffer(), '{')
	for _, key := range slices.Sorted(maps.Keys(entry.Data)) {
		line = appendString(line, key)
		line = append(line, ':')
		var err error
		line, err = appendValue(line, entry.Data[key])
		if err != nil {
			return nil, err
		}
		line = append(line, ',')
	}
	line = append(line, `"level":`...)
	line = appendString(line, entry.Level.String())
	line = append(line, `,"name":`...)
	line = appendString(line, entry.Message)
	line = append(line, `,"time":"`...)
	line = entry.Time.AppendFormat(line, time.RFC3339Nano)
	line = append(line, "\"}\n"...)
	_, err := out.Write(line)
	return out.Bytes(), err
}

func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		return appendString(line, v), nil
	case int:
		return strconv.AppendInt(line, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(line, v, 10), nil
	case uint64:
		return strconv.AppendUint(line, v, 10), nil
	case bool:
		return strconv.AppendBool(line, v), nil
	case error:
		return appendString(line, v.Error()), nil
	}
	text, err := json.Marshal(value)
	return append(line, text...), err
}

// appendString appends a JSON string. Most texts need no escapes.
func appendString(line []byte, text string) []byte {
	for _, c := range []byte(text) {
		if c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			// A string can always be encoded.
			escaped, _ := json.Marshal(text)
			return append(line, escaped...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}

// Name returns the name of the event with the number, empty if there is no such event.
func Name(id ID) string { return byID[id].Name }
