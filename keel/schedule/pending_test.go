package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// pendingCase is a case of testdata/pending/cases.json: jobs whose start orders fare the same, and what callers see of them
// afterwards.
type pendingCase struct {
	Description string     `json:"why"`
	Name        string     `json:"name"`
	Orders      string     `json:"orders"`
	Pending     int        `json:"pending"`
	State       work.State `json:"state"`
}

// pendingCaseJobs is the number of jobs of each case.
const pendingCaseJobs = 4

// startsLike returns the start call of workers to which orders fare as the case says.
func (b *testbed) startsLike(orders string) func(context.Context, worker.Target, worker.StartOrder) (worker.Reply, error) {
	inner := b.fleet.WorkerClient("leader").Start
	return func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		switch orders {
		case "lost":
			<-ctx.Done()
			return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		case "unhealthy":
			return worker.Reply{Refusal: worker.Unhealthy}, nil
		case "no_capacity":
			return worker.Reply{Refusal: worker.NoCapacity}, nil
		case "not_sent":
			return worker.Reply{}, fault.New(fault.Overloaded, "no free connection").WithOutcome(fault.NotRun)
		case "answer_lost":
			_, _ = inner(ctx, to, o)
			<-ctx.Done()
			return worker.Reply{}, fault.New(fault.EndpointFailed, "response lost").WithOutcome(fault.Unknown)
		case "accepted":
			return inner(ctx, to, o)
		}
		b.t.Errorf("unknown kind of orders %q", orders)
		return worker.Reply{}, nil
	}
}

// storedStarts returns the number of jobs that the ledger's rows show as started.
func (b *testbed) storedStarts() int {
	contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
	assert.NilError(b.t, err)
	n := 0
	for _, record := range contents.JobRecords {
		if record.Progress != nil && record.Progress.Started {
			n++
		}
	}
	return n
}

// Guards against jobs that are shown as running, and are missing from the pending ones, because an order to start one of their
// tasks was sent: the order may have been lost or rejected. The next leader and the stored rows have to show the same.
func TestOnlyBegunJobsCountAsStarted(t *testing.T) {
	for _, c := range readCases[pendingCase](t, "testdata/pending/cases.json") {
		t.Run(c.Name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) { b.playPendingCase(c) })
		})
	}
}

func (b *testbed) playPendingCase(c pendingCase) {
	check := func(when string) {
		assert.Equal(b.t, b.pendingJobs(), c.Pending, when)
		assert.Equal(b.t, b.storedStarts(), pendingCaseJobs-c.Pending, when)
		assert.Equal(b.t, b.state(), c.State, when)
	}
	b.addInstance("m1")
	b.addInstance("m2")
	b.startEpoch(1, "p")
	time.Sleep(2 * time.Second)
	b.setStart(b.startsLike(c.Orders))
	for n := range pendingCaseJobs {
		b.submit(singleStepJob(fmt.Sprintf("%016x", 0xa1+n), "p", 1, 20*time.Second), 20*time.Second)
	}
	time.Sleep(2 * time.Second)
	check("after the orders")
	b.onLoop(b.s.End)
	b.startEpoch(2, "p")
	time.Sleep(2 * time.Second)
	check("under the next leader")
	b.setStart(nil)
	time.Sleep(50 * time.Second)
	assert.Equal(b.t, b.state(), work.Completed)
}
