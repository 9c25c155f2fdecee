package event

import "github.com/sirupsen/logrus"

// The events of the entry process.
const (
	EntryStarted ID = 100 + iota
	EntryReady
	EntryStopping
	EntryStopped
	EntryRequestFailed
)

var entryEvents = []Definition{
	{EntryStarted, "entry_started", logrus.InfoLevel, "an entry process starts", []string{"incarnation", "data_centre", "version"}},
	{EntryReady, "entry_ready", logrus.InfoLevel, "an entry has settings and accepts requests", []string{"revision"}},
	{EntryStopping, "entry_stopping", logrus.InfoLevel, "an entry was asked to stop and finishes its requests in flight", []string{"in_flight"}},
	{EntryStopped, "entry_stopped", logrus.InfoLevel, "an entry has stopped and exits", nil},
	{EntryRequestFailed, "entry_request_failed", logrus.InfoLevel, "the response to a request is an error", []string{"request", "kind", "outcome", "reason"}},
}
