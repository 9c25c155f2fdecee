package site

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
)

// partitionedDay returns a day with one entry in each of the data centres a and b; the tests partition b from a and
// from the store.
func partitionedDay() *day {
	return &day{DataCentres: []string{"a", "b"}, Entries: 1, Pools: map[string]int{"p": 1, "spare": 1}}
}

// submitAt submits a job to an entry and returns the error and the time that the call took.
func (p *dayRun) submitAt(name, id string) (*fault.Error, time.Duration) {
	job, taskTimes, poisoned := p.makeJob(id, &traffic{Pool: "p", Steps: 1, Width: 1, CPU: 1000, TaskTime: duration(time.Second)})
	p.checker.Submitted(job, taskTimes, poisoned)
	ctx, cancel := context.WithTimeout(context.Background(), defaultCallerTimeout)
	defer cancel()
	began := time.Now()
	err := p.entry(name).site.submit(ctx, job, caller{})
	return fault.As(err), time.Since(began)
}

// An entry that knows that it can reach neither the store nor the leader rejects a job immediately with outcome NotRun,
// instead of letting the caller wait for its timeout.
func TestPartitionedEntryRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		outage := &emulator.StoreFault{Outage: emulator.Silent}
		p.setPartitioned("b", p.day.DataCentres, true, outage)
		time.Sleep(3 * time.Second)
		failure, elapsed := p.submitAt("b-1", jobID(1))
		assert.Equal(t, failure.Outcome(), fault.NotRun, failure.Error())
		assert.Assert(t, failure.RetryAfter() > 0)
		assert.Assert(t, elapsed < 100*time.Millisecond, "rejected after %s", elapsed)
	})
}

// A job must not be rejected if the response to its write was lost. If neither the store nor the leader can be reached
// any more, the caller gets outcome Unknown immediately and can send the job to another entry, which may store it.
func TestPartitionedEntryReportsUnknownOutcomeImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		outage := &emulator.StoreFault{Outage: emulator.Silent}
		p.setPartitioned("b", p.day.DataCentres, true, outage)
		failure, elapsed := p.submitAt("b-1", jobID(1))
		assert.Equal(t, failure.Outcome(), fault.Unknown, failure.Error())
		assert.Assert(t, elapsed < unknownOutcomeTimeout, "responded after %s", elapsed)
	})
}

// unknownOutcomeTimeout is the timeout of one write without a response, by which an entry may detect that the store is
// unavailable.
const unknownOutcomeTimeout = 2200 * time.Millisecond
