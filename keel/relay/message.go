package relay

import (
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// The methods that entries call on each other.
const (
	// MethodOffer is called by a relay on the leader.
	MethodOffer = "relay.offer"
	// MethodOrders is called by the leader on a relay.
	MethodOrders = "relay.orders"
	// MethodResults is called by a relay on the leader.
	MethodResults = "relay.results"
	// MethodCompactOrders and MethodCompactResults are the same with an encoded Batch and Results as attachments.
	MethodCompactOrders  = "relay.compact_orders"
	MethodCompactResults = "relay.compact_results"
)

// Offer is an entry's offer to carry orders.
type Offer struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// CPUShare is the share of a core that the entry has.
	CPUShare float64 `json:"cpu_share"`
	// ClockMillis is the relay's clock.
	ClockMillis int64 `json:"clock_ms"`
	// Compact reports that the relay serves MethodCompactOrders.
	Compact bool `json:"compact,omitempty"`
}

// Batch holds orders of one leader.
type Batch struct {
	// ReplyTo is the leader's address.
	ReplyTo string  `json:"reply_to"`
	Orders  []Order `json:"orders"`
	// Specs holds the specifications that orders refer to by index, since the tasks of a job share one.
	Specs []string `json:"specs,omitempty"`
	// Compact selects MethodCompactOrders, and MethodCompactResults for the results.
	Compact bool `json:"-"`
}

// kind is the kind of an order.
type kind int

const (
	kindStart kind = iota + 1
	kindStop
	kindThrottle
	kindRenew
)

// Order is one call to a worker. The fields that its kind doesn't need are zero.
type Order struct {
	ID      uint64 `json:"i"`
	Kind    kind   `json:"k"`
	Worker  string `json:"w"`
	Address string `json:"a"`
	Token   int64  `json:"f"`
	// ExpiresMillis is the time on the relay's clock after which the order must not be sent; TimeoutMillis is how long
	// the relay waits for the worker's response.
	ExpiresMillis int64 `json:"x"`
	TimeoutMillis int64 `json:"o"`

	Task           string `json:"t,omitempty"`
	Run            int64  `json:"r,omitempty"`
	Spec           int    `json:"s,omitempty"`
	Checkpoint     string `json:"c,omitempty"`
	Ticket         string `json:"p,omitempty"`
	Percent        int    `json:"v,omitempty"`
	LeaseEndMillis int64  `json:"l,omitempty"`
	Acknowledged   int64  `json:"n,omitempty"`
	WaitMillis     int64  `json:"d,omitempty"`
	EndsSuffice    bool   `json:"e,omitempty"`
}

// Results holds the outcomes of orders.
type Results struct {
	Results []Result `json:"results"`
	// Compact selects MethodCompactResults.
	Compact bool `json:"-"`
}

// Result is the outcome of one order: a failure or the worker's response.
type Result struct {
	ID      uint64   `json:"i"`
	Failure *Failure `json:"e,omitempty"`
	// ClockMicros is the worker's clock.
	ClockMicros int64  `json:"c,omitempty"`
	Refusal     string `json:"x,omitempty"`
	Running     []Run  `json:"r,omitempty"`
	// Partial reports that Running leaves out runs that the relay has listed a moment ago.
	Partial bool  `json:"p,omitempty"`
	Ended   []End `json:"n,omitempty"`
	// MoreEnds reports that the worker may have ends after these.
	MoreEnds bool `json:"m,omitempty"`
	// Started is when the worker booted, 0 if its response doesn't say or the relay's build doesn't pass it on.
	Started int64 `json:"b,omitempty"`
}

// Failure is an error of a call to a worker.
type Failure struct {
	Kind    string `json:"k"`
	Outcome string `json:"o"`
	Text    string `json:"t"`
}

// Run is an active run.
type Run struct {
	Task       string  `json:"t"`
	Run        int64   `json:"r"`
	Checkpoint string  `json:"c,omitempty"`
	Percent    float64 `json:"p,omitempty"`
	Load       float64 `json:"l"`
}

// End is an ended run.
type End struct {
	Number     int64  `json:"n"`
	Task       string `json:"t"`
	Run        int64  `json:"r"`
	Kind       string `json:"k"`
	Checkpoint string `json:"c,omitempty"`
}

func encodeStart(o worker.StartOrder) Order {
	return Order{
		Kind: kindStart, Token: o.Token, Task: o.Task.String(), Run: o.Run, LeaseEndMillis: o.LeaseEnd.Milliseconds(),
		Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	}
}

func encodeStop(o worker.StopOrder) Order {
	return Order{Kind: kindStop, Token: o.Token, Task: o.Task.String(), Run: o.Run}
}

func encodeRenew(o worker.RenewOrder) Order {
	return Order{
		Kind: kindRenew, Token: o.Token, LeaseEndMillis: o.LeaseEnd.Milliseconds(), Acknowledged: o.Acknowledged,
		WaitMillis: o.Wait.Milliseconds(), EndsSuffice: o.EndsSuffice,
	}
}

// encodeResult returns the result of the order for the worker's response or the error of the call.
func encodeResult(id uint64, status worker.Status, err error) Result {
	if err != nil {
		failure := fault.As(err)
		return Result{ID: id, Failure: &Failure{Kind: failure.Kind().String(), Outcome: string(failure.Outcome()), Text: failure.Text()}}
	}
	result := Result{ID: id, ClockMicros: status.Clock.Microseconds(), Refusal: string(status.Refusal), Partial: status.Partial, MoreEnds: status.MoreEnds, Started: status.Started}
	for _, r := range status.Running {
		result.Running = append(result.Running, Run{Task: r.Task.String(), Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent, Load: r.Load})
	}
	for _, e := range status.Ended {
		result.Ended = append(result.Ended, End{Number: e.Number, Task: e.Task.String(), Run: e.Run, Kind: string(e.Kind), Checkpoint: e.Checkpoint})
	}
	return result
}

// status returns the worker's response or the error of the call.
func (r *Result) status() (worker.Status, error) {
	if r.Failure != nil {
		kind, known := fault.KindByName(r.Failure.Kind)
		if !known {
			kind = fault.EndpointFailed
		}
		return worker.Status{}, fault.New(kind, "%s", r.Failure.Text).WithOutcome(fault.Outcome(r.Failure.Outcome))
	}
	status := worker.Status{Reply: worker.Reply{Clock: time.Duration(r.ClockMicros) * time.Microsecond, Refusal: worker.Refusal(r.Refusal), Started: r.Started}, Partial: r.Partial, MoreEnds: r.MoreEnds}
	for _, run := range r.Running {
		id, ok := work.ParseTaskID(run.Task)
		if !ok {
			return worker.Status{}, fault.New(fault.EndpointFailed, "relayed run has invalid ID %q", run.Task)
		}
		status.Running = append(status.Running, worker.Run{Task: id, Run: run.Run, Checkpoint: run.Checkpoint, Percent: run.Percent, Load: run.Load})
	}
	for _, e := range r.Ended {
		id, ok := work.ParseTaskID(e.Task)
		if !ok {
			return worker.Status{}, fault.New(fault.EndpointFailed, "relayed end has invalid ID %q", e.Task)
		}
		status.Ended = append(status.Ended, worker.End{Number: e.Number, Task: id, Run: e.Run, Kind: worker.EndKind(e.Kind), Checkpoint: e.Checkpoint})
	}
	return status, nil
}
