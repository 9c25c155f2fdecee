package event

import "github.com/sirupsen/logrus"

// The events of the entry process.
const (
	EntryStarted ID = 100 + iota
	EntryReady
	EntryStopping
	EntryStopped
	EntryRequestFailed
	AcceptFailed
	CallersLimited
)

var entryEvents = []Definition{
	{EntryStarted, "entry_started", logrus.InfoLevel, "an entry process starts", []string{"incarnation", "data_centre", "version"}},
	{EntryReady, "entry_ready", logrus.InfoLevel, "an entry has settings and accepts requests", []string{"revision"}},
	{EntryStopping, "entry_stopping", logrus.InfoLevel, "an entry was asked to stop and finishes its requests in flight", []string{"in_flight"}},
	{EntryStopped, "entry_stopped", logrus.InfoLevel, "an entry has stopped and exits", nil},
	{AcceptFailed, "accept_failed", logrus.WarnLevel, "a listener can't accept a connection, for example because descriptors are used up, and tries again after the delay", []string{"listener", "reason", "retry_ms"}},
	{CallersLimited, "callers_limited", logrus.WarnLevel, "a new caller exceeds the limit of open connections, so that the connection that has been idle for longest is closed or, if none is idle, the new one is refused with 503", []string{"limit", "refused"}},
	{EntryRequestFailed, "entry_request_failed", logrus.InfoLevel, "the response to a request is an error", []string{"request", "kind", "outcome", "reason"}},
}
