package worker

import (
	"context"
	"time"

	"samphirekeel.example/keel/work"
)

// Target identifies the worker that an order is sent to.
type Target struct {
	ID         string
	Address    string
	DataCentre string
}

// StartOrder orders a worker to start a run of a task.
type StartOrder struct {
	Task work.TaskID
	// Run is the number of the run, which rises with each run of the task.
	Run  int64
	Spec string
	// LeaseEnd is the end of the worker's lease on its own clock; the lease covers all runs on the worker and is never
	// shortened.
	LeaseEnd time.Duration
	// Token is the fencing token.
	Token int64
	// Checkpoint is the checkpoint that the run resumes from, empty to start from the beginning.
	Checkpoint string
	// Ticket is the policy's permission to run the step on the worker, empty if the queue has no policy.
	Ticket string
}

// StopOrder orders a worker to stop a run of a task; if the worker doesn't have the run, it rejects it from then on.
type StopOrder struct {
	Task  work.TaskID
	Run   int64
	Token int64
}

// ThrottleOrder throttles a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task    work.TaskID
	Run     int64
	Percent int
	Token   int64
}

// Refusal is the reason why a worker rejected an order.
type Refusal string

// The reasons for a refusal.
const (
	// Accepted means that the order was not rejected; if the call failed, the error's outcome states whether it was
	// carried out.
	Accepted Refusal = ""
	// Fenced means that the worker has seen a higher fencing token.
	Fenced Refusal = "fenced"
	// Superseded means that a run of the task with the same or a higher number was stopped or has ended on the worker.
	Superseded Refusal = "superseded"
	// Expired means that the lease in the order had already expired.
	Expired Refusal = "expired"
	// NoCapacity means that the task doesn't fit into the worker's free resources.
	NoCapacity Refusal = "no_room"
	// NoTicket means that the ticket isn't valid.
	NoTicket Refusal = "no_ticket"
	// Malformed means that the worker couldn't decode the order.
	Malformed Refusal = "malformed"
	// Unhealthy means that the worker currently rejects all work; the order had no effect.
	Unhealthy Refusal = "unhealthy"
	// OtherBoot means that another boot of an instance is now serving at the address.
	OtherBoot Refusal = "other_boot"
)

// Reply is a worker's response to an order.
type Reply struct {
	// Clock is the worker's clock, 0 if the response doesn't contain it.
	Clock   time.Duration
	Refusal Refusal
	// Started is when the worker booted that responded (Boot.Started), 0 if the response doesn't contain it.
	Started int64
}

// RenewOrder extends a worker's lease and queries its runs.
type RenewOrder struct {
	Token int64
	// LeaseEnd is the end of the lease on the worker's clock; 0 leaves the lease unchanged.
	LeaseEnd time.Duration
	// Acknowledged is the End.Number up to which the ends have been stored; the worker discards them.
	Acknowledged int64
	// Wait is the maximum time that the worker waits for a run to end before it responds.
	Wait time.Duration
	// EndsSuffice permits a response that reports ends to leave out the active runs.
	EndsSuffice bool
}

// Run is an active run.
type Run struct {
	Task work.TaskID
	Run  int64
	// Checkpoint is the newest one, empty for none.
	Checkpoint string
	// Percent is the progress of the task; for a long-running task it is 100 while the task is serving.
	Percent float64
	// Load is the tail latency in milliseconds for a task that serves users, else the processor use in milli-cores;
	// negative if the worker doesn't report it.
	Load float64
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	Done    EndKind = "done"
	Failed  EndKind = "failed"
	Stopped EndKind = "stopped"
	// LeaseExpired means that the worker's lease expired.
	LeaseExpired EndKind = "lapsed"
	// GangBroken means that another member of the gang ended.
	GangBroken EndKind = "broken"
	// GangIncomplete means that the other members of the gang weren't started within the gang timeout.
	GangIncomplete EndKind = "alone"
)

// End is a run that has ended.
type End struct {
	// Number counts the ends of runs on the worker.
	Number     int64
	Task       work.TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// Status is a worker's response to a renewal.
type Status struct {
	Reply
	Running []Run
	// Partial reports that Running is left out, as RenewOrder.EndsSuffice permits.
	Partial bool
	// Ended lists the oldest ends that haven't been acknowledged. MoreEnds reports that there may be others, which the worker
	// lists once these are acknowledged.
	Ended    []End
	MoreEnds bool
}

// Client sends orders to workers; calls fail with kind EndpointFailed, and with outcome Unknown if the order may have
// been carried out or may still be.
type Client struct {
	Start    func(ctx context.Context, to Target, order StartOrder) (Reply, error)
	Stop     func(ctx context.Context, to Target, order StopOrder) (Reply, error)
	Throttle func(ctx context.Context, to Target, order ThrottleOrder) (Reply, error)
	Renew    func(ctx context.Context, to Target, order RenewOrder) (Status, error)
	// SubmitStart, SubmitStop and SubmitRenew are nil, or send an order like Start, Stop and Renew without a goroutine
	// that waits for the response. They return false if the order has to be sent in the other way; else they call done
	// once, later, on the control loop, with the time that the call took.
	SubmitStart func(to Target, order StartOrder, timeout time.Duration, done func(reply Reply, took time.Duration, err error)) bool
	SubmitStop  func(to Target, order StopOrder, timeout time.Duration, done func(reply Reply, took time.Duration, err error)) bool
	SubmitRenew func(to Target, order RenewOrder, timeout time.Duration, done func(status Status, err error)) bool
	// Healthy queries the health check at the path and reports whether the worker is healthy.
	Healthy func(ctx context.Context, to Target, path string) (bool, error)
	// Forget closes the connections to an address that is no longer in use.
	Forget func(address string)
}

// Ticket is a policy's permission to run a step's tasks on a worker.
type Ticket struct {
	Worker string
	Ticket string
}

// PolicyClient queries a queue's policy, which decides which workers may run a step.
type PolicyClient struct {
	// RequestTickets returns a ticket for each of the workers that the policy allows, and waits for at most the
	// timeout; it fails with kind Overloaded if too many queries are pending.
	RequestTickets func(ctx context.Context, step string, workers []string, timeout time.Duration) ([]Ticket, error)
}
