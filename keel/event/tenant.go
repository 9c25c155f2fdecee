package event

import "github.com/sirupsen/logrus"

// The events of tenants and their keys.
const (
	CallerRefused ID = 1100 + iota
	ForeignJob
)

var tenantEvents = []Definition{
	{CallerRefused, "caller_refused", logrus.InfoLevel, "the key of a call isn't valid (unauthorized), or this entry can't tell now whether it is (not_ready); key is the start of its hash", []string{"queue", "tenant", "key", "kind", "version"}},
	{ForeignJob, "foreign_job", logrus.InfoLevel, "a caller asks for a job of another tenant or cancels it, and gets the response for a job that doesn't exist", []string{"job", "call", "tenant"}},
}
