package main

import (
	"io"
	"net/url"
	"strconv"

	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/settings"
)

type jobCommands struct {
	List   jobListCommand   `command:"list" description:"show the jobs of a service"`
	Show   jobShowCommand   `command:"show" description:"show one job whole"`
	Cancel jobCancelCommand `command:"cancel" description:"end a job"`
}

// jobArgs identifies one job.
type jobArgs struct {
	Service string `positional-arg-name:"partner/pool/service"`
	Key     string `positional-arg-name:"key"`
}

type jobListCommand struct {
	Limit int `long:"limit" default:"100" description:"jobs to show"`
	Args  struct {
		Service string `positional-arg-name:"partner/pool/service"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the jobs in order of their last change.
func (c *jobListCommand) Execute([]string) error {
	query := url.Values{"service": {c.Args.Service}, "limit": {strconv.Itoa(c.Limit)}}
	var jobs []job.Record
	err := cli.client().Get("/v1/jobs?"+query.Encode(), &jobs)
	if err != nil {
		return err
	}
	return show(jobs, jobTable)
}

func jobTable(out io.Writer, jobs []job.Record) {
	printRow(out, "JOB", "STATE", "WORKER", "ATTEMPT", "REASON")
	for _, found := range jobs {
		printRow(out, found.ID, found.State, found.Worker, found.Attempt, found.Reason)
	}
}

type jobShowCommand struct {
	Args jobArgs `positional-args:"yes" required:"yes"`
}

// Execute prints the job.
func (c *jobShowCommand) Execute([]string) error {
	query := url.Values{"service": {c.Args.Service}, "key": {c.Args.Key}}
	var found job.Record
	err := cli.client().Get("/v1/jobs/one?"+query.Encode(), &found)
	if err != nil {
		return err
	}
	return showJSON(found)
}

type jobCancelCommand struct {
	Args jobArgs `positional-args:"yes" required:"yes"`
}

// Execute requests the cancellation of the job and prints the job.
func (c *jobCancelCommand) Execute([]string) error {
	name := operator.JobName{Service: settings.Path(c.Args.Service), Key: c.Args.Key}
	var found job.Record
	err := cli.client().Post("/v1/jobs/cancel", name, &found)
	if err != nil {
		return err
	}
	return show([]job.Record{found}, jobTable)
}
