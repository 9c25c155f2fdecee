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
	ClientsLimited
)

var entryEvents = []Definition{
	{EntryStarted, "entry_started", logrus.InfoLevel, "an entry process starts", []string{"incarnation", "data_centre", "version"}},
	{EntryReady, "entry_ready", logrus.InfoLevel, "an entry has settings and accepts requests", []string{"revision"}},
	{EntryStopping, "entry_stopping", logrus.InfoLevel, "an entry was asked to stop and finishes its requests in flight", []string{"in_flight"}},
	{EntryStopped, "entry_stopped", logrus.InfoLevel, "an entry has stopped and exits", nil},
	{AcceptFailed, "accept_failed", logrus.WarnLevel, "a listener can't accept a connection, for example because descriptors are used up, and tries again after the delay", []string{"listener", "reason", "retry_ms"}},
	{ClientsLimited, "clients_limited", logrus.WarnLevel, "a limit has closed or refused clients of a listener since the last such line, at most one a second for each reason: connections, memory, header_timeout, body_timeout, write_timeout", []string{"listener", "reason", "action", "clients", "held_bytes", "limit_bytes", "connections", "limit_connections"}},
	{EntryRequestFailed, "entry_request_failed", logrus.InfoLevel, "the response to a request is an error", []string{"request", "kind", "outcome", "reason"}},
}
