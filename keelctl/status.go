package main

import (
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/operator"
)

// waitPollInterval is the interval between polls while a command waits.
const waitPollInterval = 200 * time.Millisecond

type statusCommand struct{}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	var status operator.Status
	err := cli.client().Get("/v1/status", &status)
	if err != nil {
		return err
	}
	return show(status, statusTable)
}

type entriesCommands struct {
	Forget forgetCommand `command:"forget" description:"say that a lapsed entry is gone for good, so that maintenance no longer waits for its word"`
}

type forgetCommand struct {
	Args struct {
		Incarnation string `positional-arg-name:"incarnation"`
	} `positional-args:"yes" required:"yes"`
}

// Execute deletes the entry's row.
func (c *forgetCommand) Execute([]string) error {
	request := operator.ForgetEntry{Incarnation: c.Args.Incarnation}
	return cli.client().Post("/v1/entries/forget", request, &request)
}

// waitApplied waits until all entries have applied the revision; on a timeout the error names those that have not.
func waitApplied(revision uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		lagging, err := laggingEntries(revision)
		if err == nil && len(lagging) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return fault.New(fault.NotReady, "revision %d accepted, but not known to be in force on %s", revision, strings.Join(lagging, ", "))
		}
		time.Sleep(waitPollInterval)
	}
}

func laggingEntries(revision uint64) ([]string, error) {
	var status operator.Status
	err := cli.client().Get("/v1/status", &status)
	var lagging []string
	for _, entry := range status.Entries {
		if entry.Revision < revision {
			lagging = append(lagging, entry.Incarnation)
		}
	}
	return lagging, err
}
