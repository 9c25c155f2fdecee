package worker

import (
	"context"
	"time"

	"samphirekeel.example/keel/work"
)

// Target is the worker that an order is meant for.
type Target struct {
	ID      string
	Address string
}

// StartOrder asks a worker to begin a run of a task.
type StartOrder struct {
	Task work.TaskID
	// Run numbers the task's runs and rises.
	Run  int64
	Spec string
	// LeaseEnd is on the worker's clock; the lease covers everything on the worker and never shortens.
	LeaseEnd time.Duration
	// Token is the fencing token.
	Token int64
	// Checkpoint is where the run resumes, empty for the beginning.
	Checkpoint string
	// Ticket is what the queue's policy gave for the step and the worker, empty where there is none.
	Ticket string
}

// StopOrder asks a worker to end a run of a task; a run that isn't there is refused from then on.
type StopOrder struct {
	Task  work.TaskID
	Run   int64
	Token int64
}

// ThrottleOrder bounds the share of its speed at which a run works.
type ThrottleOrder struct {
	Task    work.TaskID
	Run     int64
	Percent int
	Token   int64
}

// Refusal says why a worker did not carry out an order.
type Refusal string

// The reasons for a refusal.
const (
	// Accepted is no refusal.
	Accepted Refusal = ""
	// Fenced means that the worker has seen a higher fencing token.
	Fenced Refusal = "fenced"
	// Superseded means that the run isn't higher than one that was stopped or has ended there.
	Superseded Refusal = "superseded"
	// Expired means that the lease that came with the order had run out.
	Expired Refusal = "expired"
	// NoRoom means that the task doesn't fit.
	NoRoom Refusal = "no_room"
	// NoTicket means that the ticket isn't valid.
	NoTicket Refusal = "no_ticket"
	// Malformed means that the worker can't read the order.
	Malformed Refusal = "malformed"
	// Unhealthy means that the worker refuses work for now and has done nothing.
	Unhealthy Refusal = "unhealthy"
	// OtherBoot means that another boot answers at the address.
	OtherBoot Refusal = "other_boot"
)

// Reply is a worker's answer to an order.
type Reply struct {
	// Clock is the worker's clock, 0 if the answer doesn't say.
	Clock   time.Duration
	Refusal Refusal
}

// RenewOrder extends a worker's lease and asks for its runs.
type RenewOrder struct {
	Token int64
	// LeaseEnd is on the worker's clock; 0 leaves the lease as it is.
	LeaseEnd time.Duration
	// Acknowledged is the number of the last end that is kept elsewhere; the worker forgets the ends up to it.
	Acknowledged int64
	// Wait bounds how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Run is a run that goes on.
type Run struct {
	Task work.TaskID
	Run  int64
	// Checkpoint is the newest one, empty for none.
	Checkpoint string
	// Percent is the progress of a task, and 100 for a lasting one that is at work.
	Percent float64
	// Load is the tail latency in milliseconds of a task that serves users, else the processor use in milli-cores;
	// negative if the worker doesn't say.
	Load float64
}

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	Done    EndKind = "done"
	Failed  EndKind = "failed"
	Stopped EndKind = "stopped"
	// LeaseExpired means that the worker's lease ran out.
	LeaseExpired EndKind = "lapsed"
	// GangBroken means that another member of the gang ended.
	GangBroken EndKind = "broken"
	// GangIncomplete means that the other members of the gang didn't come in time.
	GangIncomplete EndKind = "alone"
)

// End is a run that has ended.
type End struct {
	// Number counts the ends of one boot of the worker.
	Number     int64
	Task       work.TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// Status is a worker's answer to a renewal.
type Status struct {
	Reply
	Running []Run
	Ended   []End
}

// Client sends orders to workers; each call fails with kind EndpointFailed, and outcome Unknown where the order may
// have been or may yet be carried out.
type Client struct {
	Start    func(ctx context.Context, to Target, order StartOrder) (Reply, error)
	Stop     func(ctx context.Context, to Target, order StopOrder) (Reply, error)
	Throttle func(ctx context.Context, to Target, order ThrottleOrder) (Reply, error)
	Renew    func(ctx context.Context, to Target, order RenewOrder) (Status, error)
	// Healthy reports whether the worker calls itself healthy.
	Healthy func(ctx context.Context, to Target, path string) (bool, error)
	// Forget closes the connections to an address that is no longer used.
	Forget func(address string)
}

// Ticket allows a step's tasks on a worker.
type Ticket struct {
	Worker string
	Ticket string
}

// PolicyClient asks the queue's policy which of the workers may run a step.
type PolicyClient struct {
	// RequestTickets fails with kind Overloaded if too many questions are waiting.
	RequestTickets func(ctx context.Context, step string, workers []string, wait time.Duration) ([]Ticket, error)
}
