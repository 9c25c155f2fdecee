package schedule

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// lastLine returns the fields of the last line with the name, nil if there is none.
func lastLine(t *testing.T, log []byte, name string) map[string]any {
	t.Helper()
	var last map[string]any
	for line := range bytes.Lines(log) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields["name"] == name {
			last = fields
		}
	}
	return last
}

// Guards against a failed job whose log doesn't tell with which limit and configuration its failures were compared.
func TestLogTellsInputsOfFailure(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		var log bytes.Buffer
		b.log = event.New(&log, true)
		b.addInstance("m1")
		b.startEpochWith(1, newConfig(7, "p"))
		time.Sleep(500 * time.Millisecond)
		b.fleet.SetBehaviour("m1", emulator.Behaviour{Fails: true})
		b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
		time.Sleep(40 * time.Second)
		var lines []byte
		b.onLoop(func() { lines = bytes.Clone(log.Bytes()) })
		ready := lastLine(t, lines, "leader_ready")
		assert.Equal(t, ready["config"], 7.0)
		assert.Equal(t, ready["unrouted"], 0.0)
		failed := lastLine(t, lines, "task_failed")
		assert.Equal(t, failed["failures"], 3.0)
		assert.Equal(t, failed["limit"], 3.0)
		assert.Equal(t, failed["config"], 7.0)
		assert.Equal(t, failed["earlier_epoch"], false)
		exhausted := lastLine(t, lines, "attempts_exhausted")
		assert.Equal(t, exhausted["task"], firstJob+".0.0.0")
		assert.Equal(t, exhausted["limit"], 3.0)
		assert.Equal(t, exhausted["earlier_epochs"], 0.0)
	})
}

// submitWithTerms submits the first job under the terms of its queue in the configuration.
func (b *testbed) submitWithTerms(config *queue.Config, duration time.Duration) {
	job := singleStepJob(firstJob, "p", 1, duration)
	job.Terms = config.Terms(config.QueueByName("p"))
	b.submit(job, duration)
}

// failures returns the number of failed runs of the first job.
func (b *testbed) failures() int {
	n := 0
	b.onLoop(func() { n = len(b.s.jobs[firstJob].failures) })
	return n
}

// failRuns lets the runs on instance m1 fail until the first job has n failed runs, and then waits until they are stored.
func (b *testbed) failRuns(n int) {
	b.fleet.SetBehaviour("m1", emulator.Behaviour{Fails: true})
	for deadline := time.Now().Add(30 * time.Second); b.failures() < n && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	b.fleet.SetBehaviour("m1", emulator.Behaviour{})
	assert.Equal(b.t, b.failures(), n)
	time.Sleep(200 * time.Millisecond)
}

// submitFailing submits the first job, whose queue allows three failed runs of a task, and lets n runs fail.
func (b *testbed) submitFailing(n int) {
	b.addInstance("m1")
	b.startEpochWith(1, newConfig(1, "p"))
	time.Sleep(500 * time.Millisecond)
	b.submit(singleStepJob(firstJob, "p", 1, 10*time.Second), 10*time.Second)
	b.failRuns(n)
}

// unknownQueueCases holds what happens after one failed run of the first job was stored.
var unknownQueueCases = map[string]func(b *testbed){
	"leader without configuration": func(b *testbed) {
		b.onLoop(b.s.End)
		b.startEpochWith(2, nil)
		time.Sleep(2 * time.Second)
		assert.Assert(b.t, b.state() != work.Failed)
		b.onLoop(func() { b.s.SetConfig(newConfig(1, "p")) })
	},
	"leader with a version that lacks the queue": func(b *testbed) {
		b.onLoop(b.s.End)
		b.startEpochWith(2, newConfig(2, "q"))
		time.Sleep(2 * time.Second)
		assert.Assert(b.t, b.state() != work.Failed)
		b.onLoop(func() { b.s.SetConfig(newConfig(3, "p", "q")) })
	},
	"version that lacks the queue while a run fails": func(b *testbed) {
		b.onLoop(func() { b.s.SetConfig(newConfig(2, "q")) })
		b.failRuns(2)
		assert.Assert(b.t, b.state() != work.Failed)
		b.onLoop(func() { b.s.SetConfig(newConfig(3, "p", "q")) })
	},
	"failed run listed before the configuration is known": func(b *testbed) {
		b.onLoop(b.s.End)
		b.startEpochWith(2, nil)
		time.Sleep(time.Second)
		b.failRuns(2)
		assert.Assert(b.t, b.state() != work.Failed)
		b.onLoop(func() { b.s.SetConfig(newConfig(1, "p")) })
	},
}

// Guards against a job that is shown as failed although no task has failed as often as its queue allows: the leader doesn't
// know the queue when it reads or hears of a failed run.
func TestUnknownQueueFailsNoJob(t *testing.T) {
	for name, run := range unknownQueueCases {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.submitFailing(1)
				run(b)
				time.Sleep(40 * time.Second)
				assert.Equal(t, b.state(), work.Completed)
			})
		})
	}
}

// Guards against a job that goes on although a task has failed as often as its queue allows: the limit wasn't known when the
// last failed run was recorded.
func TestAttemptsAreCheckedOnceQueueIsKnown(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.submitFailing(2)
		b.onLoop(b.s.End)
		b.startEpochWith(2, nil)
		time.Sleep(time.Second)
		b.failRuns(3)
		starts := b.starts()
		time.Sleep(5 * time.Second)
		assert.Assert(t, b.state() != work.Failed)
		b.onLoop(func() { b.s.SetConfig(newConfig(1, "p")) })
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Failed)
		assert.Equal(t, b.starts(), starts)
	})
}

// Guards against a start after as many failed runs as a new version of the configuration allows.
func TestAttemptsAreCheckedWhenLimitChanges(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.submitFailing(2)
		config := newConfig(2, "p")
		config.QueueByName("p").MaxAttempts = 2
		b.onLoop(func() { b.s.SetConfig(config) })
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Failed)
	})
}

// Guards against accepted jobs that wait for a configuration that has their queue, which there may never be again.
func TestAcceptedJobRunsUnderItsTerms(t *testing.T) {
	for name, config := range map[string]*queue.Config{"no configuration": nil, "queue removed": newConfig(3, "q"), "older configuration": newConfig(1, "q")} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpochWith(1, newConfig(1, "q"))
				time.Sleep(500 * time.Millisecond)
				b.onLoop(b.s.End)
				b.submitWithTerms(newConfig(2, "p"), time.Second)
				b.startEpochWith(2, config)
				time.Sleep(4 * time.Second)
				assert.Equal(t, b.state(), work.Completed)
			})
		})
	}
}

// failMembers records failed runs of the first job's tasks, given by the run's number and the task's index.
func (b *testbed) failMembers(failed ...[2]int) {
	b.onLoop(func() {
		j := b.s.jobs[firstJob]
		for _, f := range failed {
			t := b.s.occurrence(j, 0).steps[0].tasks[f[1]]
			b.s.recordFailure(t, work.FailedRun{Run: int64(f[0]), Index: f[1], Instance: "m1"})
		}
		b.s.checkAttempts(j)
	})
}

// Guards against a gang that starts again although it has failed as often as its queue allows, each time by another member,
// and against a gang that fails early because several members failed in one run.
func TestFailedRunsOfGangAreCountedTogether(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 3, time.Second)
		job.Steps[0].Gang = true
		b.submit(job, time.Second)
		b.failMembers([2]int{1, 0}, [2]int{1, 1}, [2]int{1, 2}, [2]int{1, 0}, [2]int{2, 1})
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, b.state(), work.Queued)
		b.failMembers([2]int{3, 2})
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, b.state(), work.Failed)
	})
}

// Guards against tasks of a step that isn't a gang being counted together, and against one failed run that counts twice
// because it is listed again or recorded in two partitions.
func TestFailedRunsOfTaskAreCountedOnce(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 3, time.Second), time.Second)
		b.failMembers([2]int{1, 0}, [2]int{1, 1}, [2]int{2, 2}, [2]int{1, 0}, [2]int{1, 0}, [2]int{2, 0})
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, b.state(), work.Queued)
		b.failMembers([2]int{3, 0})
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, b.state(), work.Failed)
	})
}

// Guards against a job that fails by ends that aren't failures of its task: one without a known kind, one of a task that is
// done, and the record of one run in two partitions, of which one lacks the instance.
func TestOnlyFailedRunsOfOpenTasksCount(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 2, 8*time.Second), 8*time.Second)
		time.Sleep(500 * time.Millisecond)
		b.onLoop(func() {
			j := b.s.jobs[firstJob]
			w := b.s.workers[b.s.workerOf["m1"].ID]
			id := work.TaskID{Job: firstJob}
			for i, kind := range []worker.EndKind{"", "other", worker.Stopped, worker.LeaseExpired, worker.GangBroken, worker.GangIncomplete} {
				b.s.applyOpenJobEnd(w, b.s.task(j, id), worker.End{Task: id, Run: int64(i) - 100, Kind: kind}, nil)
			}
			assert.Equal(t, len(j.failures), 0)
			b.s.markTaskDone(b.s.task(j, work.TaskID{Job: firstJob, Index: 1}))
			progress := work.Progress{Failures: []work.FailedRun{{Run: -1}, {Run: -2}, {Index: 1, Run: -1}, {Index: 1, Run: -2}, {Index: 1, Run: -3}}}
			progress = progress.Merge(work.Progress{Failures: []work.FailedRun{{Run: -1, Instance: "m1"}, {Run: -2}}})
			b.s.restore(j, &progress)
			assert.Assert(t, j.open())
			b.s.restore(j, &work.Progress{Failures: []work.FailedRun{{Run: -3}}})
			assert.Equal(t, j.outcome.State, work.Failed)
		})
	})
}

// Guards against a leader that ends with a panic: a version of the configuration removes the policy of a queue while a request
// for tickets is in flight.
func TestPolicyRemovedDuringTicketRequest(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		b.onLoop(func() {
			b.issueTickets()
			inner := b.s.Policy.RequestTickets
			b.s.Policy.RequestTickets = func(ctx context.Context, step string, workers []string, timeout time.Duration) ([]worker.Ticket, error) {
				time.Sleep(300 * time.Millisecond)
				return inner(ctx, step, workers, timeout)
			}
		})
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
		time.Sleep(100 * time.Millisecond)
		b.onLoop(func() { b.s.SetConfig(newConfig(2, "p")) })
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against an outcome, or a start, by the terms of a job's acceptance while the leader has no configuration: a later
// version may allow more attempts or fewer.
func TestAttemptsUnderTermsWithoutConfiguration(t *testing.T) {
	for attempts, want := range map[int]work.State{2: work.Failed, 5: work.Completed} {
		withTestbed(t, func(b *testbed) {
			b.addInstance("m1")
			b.startEpochWith(1, newConfig(1, "p"))
			time.Sleep(500 * time.Millisecond)
			b.submitWithTerms(newConfig(1, "p"), 10*time.Second)
			b.failRuns(2)
			b.onLoop(b.s.End)
			b.startEpochWith(2, nil)
			time.Sleep(time.Second)
			b.failRuns(3)
			starts := b.starts()
			time.Sleep(5 * time.Second)
			assert.Equal(t, b.state(), work.Running)
			assert.Equal(t, b.starts(), starts)
			config := newConfig(2, "p")
			config.QueueByName("p").MaxAttempts = attempts
			b.checker.SetAttempts("p", attempts)
			b.onLoop(func() { b.s.SetConfig(config) })
			time.Sleep(40 * time.Second)
			assert.Equal(t, b.state(), want)
		})
	}
}
