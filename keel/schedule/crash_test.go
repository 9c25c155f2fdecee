package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// crashCase is a play with jobs of which one task crashes each worker that starts it.
type crashCase struct {
	Name   string    `json:"name"`
	Deadly crashStep `json:"deadly"`
	// AfterMs is the time from a start to the crash.
	AfterMs int `json:"after_ms"`
	// Jobs is the number of such jobs, 1 by default; Workers is the number of workers, 8 by default.
	Jobs    int `json:"jobs"`
	Workers int `json:"workers"`
	// Busy is the number of other tasks that keep the pool full for a while, Services the number of long-running tasks, one on
	// each worker.
	Busy     int `json:"busy"`
	Services int `json:"services"`
	// LeadersAtMs lists the times after the submission at which another leader takes over.
	LeadersAtMs []int `json:"leaders_at_ms"`
	// StoreAwayMs and ListAwayMs hold the beginning and end of a time without responses of the store or of the instance list.
	StoreAwayMs []int `json:"store_away_ms"`
	ListAwayMs  []int `json:"list_away_ms"`
}

// crashStep is the only step of these jobs.
type crashStep struct {
	Count       int  `json:"count"`
	TaskMs      int  `json:"task_ms"`
	PerWorker   int  `json:"per_worker"`
	Speculative bool `json:"speculative"`
	Gang        bool `json:"gang"`
	LongRunning bool `json:"long_running"`
	Checkpoints bool `json:"checkpoints"`
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// crashTimeout is the time within which a job with a task that crashes its workers is to be shown as failed.
const crashTimeout = 40 * time.Second

// maxDownByTasks is how many workers of a pool of 8 may be down at a time because of tasks that crash them.
const maxDownByTasks = 3

// Guards against a task that crashes worker after worker and is started without a bound, with all that runs beside it.
func TestTaskThatCrashesItsWorkers(t *testing.T) {
	for _, c := range readCases[crashCase](t, "testdata/crashes/cases.json") {
		t.Run(c.Name, func(t *testing.T) { withTestbed(t, func(b *testbed) { c.play(b) }) })
	}
}

func (c *crashCase) play(b *testbed) {
	workers := c.Workers
	if workers == 0 {
		workers = 8
	}
	for n := range workers {
		b.addInstance(fmt.Sprintf("m%d", n))
	}
	b.startEpoch(1, "p")
	time.Sleep(500 * time.Millisecond)
	c.submitOthers(b)
	for n := range max(1, c.Jobs) {
		id := fmt.Sprintf("%016x", 0xdead00+n)
		b.submit(c.job(id), milliseconds(c.Deadly.TaskMs))
		b.checker.MakeDeadly(work.TaskID{Job: id}, milliseconds(c.AfterMs))
	}
	c.disturb(b)
	failed := 0
	for began := time.Now(); time.Since(began) < crashTimeout && failed < max(1, c.Jobs); {
		time.Sleep(100 * time.Millisecond)
		failed = b.countStates(work.Failed)
	}
	assert.Equal(b.t, failed, max(1, c.Jobs))
	for n := range max(1, c.Jobs) {
		id := fmt.Sprintf("%016x", 0xdead00+n)
		b.checker.CheckState(id, work.Failed, true)
		b.t.Logf("job %s: %d crashes", id, b.checker.Crashes(id))
	}
	time.Sleep(30 * time.Second)
	assert.Equal(b.t, b.countStates(work.Completed), c.Busy/10)
	running, all := b.checker.LongRunningCounts()
	assert.Equal(b.t, running, min(all, c.Services))
	down := b.fleet.PeakDownByTasks()
	b.t.Logf("at most %d workers down at a time", down)
	assert.Assert(b.t, down <= maxDownByTasks)
}

// job returns a job whose first task crashes its workers.
func (c *crashCase) job(id string) *work.Job {
	job := singleStepJob(id, "p", c.Deadly.Count, milliseconds(c.Deadly.TaskMs))
	step := &job.Steps[0]
	step.MaxPerWorker, step.Speculative, step.Gang = c.Deadly.PerWorker, c.Deadly.Speculative, c.Deadly.Gang
	step.LongRunning, step.Checkpoints = c.Deadly.LongRunning, c.Deadly.Checkpoints
	return job
}

// submitOthers submits the jobs that must not be harmed for long.
func (c *crashCase) submitOthers(b *testbed) {
	for n := range c.Busy / 10 {
		job := singleStepJob(fmt.Sprintf("%016x", 0xb000+n), "p", 10, 2*time.Second)
		job.Steps[0].Size.MilliCores = 2000
		b.submit(job, 2*time.Second)
	}
	if c.Services > 0 {
		service := singleStepJob("00000000000005e1", "p", c.Services, time.Second)
		service.Steps[0].LongRunning, service.Steps[0].MaxPerWorker = true, 1
		b.submit(service, time.Second)
	}
	time.Sleep(200 * time.Millisecond)
}

// disturb changes leaders and takes the store or the instance list away at their times.
func (c *crashCase) disturb(b *testbed) {
	began := time.Now()
	for n, at := range c.LeadersAtMs {
		time.Sleep(time.Until(began.Add(milliseconds(at))))
		b.onLoop(b.s.End)
		b.startEpoch(int64(2+n), "p")
	}
	if len(c.StoreAwayMs) == 2 {
		time.Sleep(time.Until(began.Add(milliseconds(c.StoreAwayMs[0]))))
		outage := &emulator.StoreFault{Outage: emulator.Silent}
		b.store.Inject(outage)
		time.Sleep(time.Until(began.Add(milliseconds(c.StoreAwayMs[1]))))
		b.store.Clear(outage)
	}
	if len(c.ListAwayMs) == 2 {
		time.Sleep(time.Until(began.Add(milliseconds(c.ListAwayMs[0]))))
		b.fleet.SetServiceUnavailable(true)
		time.Sleep(time.Until(began.Add(milliseconds(c.ListAwayMs[1]))))
		b.fleet.SetServiceUnavailable(false)
	}
}

// countStates returns the number of jobs that callers see in the state.
func (b *testbed) countStates(state work.State) int {
	n := 0
	b.onLoop(func() {
		for _, j := range b.s.jobs {
			if j.state() == state {
				n++
			}
		}
	})
	return n
}

// breakRenewals makes renewals fail as soon as their worker has ended, as a connection does that is closed by its peer.
func (b *testbed) breakRenewals() {
	workers := b.fleet.WorkerClient("leader")
	b.setRenew(func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			for ctx.Err() == nil && !b.fleet.HasEnded(to.Address) {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		return workers.Renew(ctx, to, o)
	})
}

// Guards against a copy of a run on a worker that the run has just crashed, which crashes a second one.
func TestNoCopyOfRunOnCrashedWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for n := range 8 {
			b.addInstance(fmt.Sprintf("m%d", n))
		}
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 1, 600*time.Millisecond)
		job.Steps[0].Speculative = true
		b.submit(job, 600*time.Millisecond)
		b.checker.MakeDeadly(work.TaskID{Job: firstJob}, 10*time.Millisecond)
		b.breakRenewals()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, b.checker.Crashes(firstJob), 1)
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.state(), work.Failed)
		assert.Equal(t, b.checker.Crashes(firstJob), 2)
	})
}

// hostOfFirstJob waits until a task of the first job has a run and returns the instance that it is on, or an empty name if the job
// has ended.
func (b *testbed) hostOfFirstJob() string {
	for b.state() == work.Queued || b.state() == work.Running {
		host := ""
		b.onLoop(func() {
			for _, w := range b.s.workers {
				for id := range w.runs {
					if id.Job == firstJob {
						host = w.Instance
					}
				}
			}
		})
		if host != "" {
			return host
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// harmlessLosses holds ways in which a task that can be done loses its worker three times.
var harmlessLosses = map[string]func(b *testbed, host string){
	"unreachable": func(b *testbed, host string) {
		b.fleet.SetUnreachable(true, host)
		time.Sleep(9 * time.Second)
		b.fleet.SetUnreachable(false, host)
	},
	"unreachable and without heartbeats": func(b *testbed, host string) {
		b.fleet.SetUnreachable(true, host)
		b.fleet.SetSilent(true, host)
		time.Sleep(9 * time.Second)
		b.fleet.SetUnreachable(false, host)
		b.fleet.SetSilent(false, host)
	},
	"drained": func(b *testbed, host string) {
		b.fleet.Drain(host, time.Second)
		time.Sleep(2 * time.Second)
	},
	"crashed with all other workers": func(b *testbed, _ string) {
		for _, id := range b.fleet.Instances() {
			b.fleet.Crash(id, time.Second)
		}
		time.Sleep(3 * time.Second)
	},
}

// Guards against a job that is given up for crashes although its task can be done: its workers are silent, leave, or crash for a
// reason of their own.
func TestLostWorkersFailNoJob(t *testing.T) {
	for name, lose := range harmlessLosses {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				for n := range 8 {
					b.addInstance(fmt.Sprintf("m%d", n))
				}
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				// A long-running task on each worker keeps the pool from giving up instances.
				(&crashCase{Services: 8}).submitOthers(b)
				b.submit(singleStepJob(firstJob, "p", 1, 4*time.Second), 4*time.Second)
				for range 3 {
					time.Sleep(time.Second)
					host := b.hostOfFirstJob()
					if host == "" {
						break
					}
					lose(b, host)
				}
				time.Sleep(30 * time.Second)
				assert.Equal(t, b.state(), work.Completed)
			})
		})
	}
}

// Guards against a leader that ends because a stored record of a run names a task that can't exist.
func TestRecordOfImpossibleTask(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 2*time.Second), 2*time.Second)
		b.onLoop(func() {
			b.s.restore(b.s.jobs[firstJob], &work.Progress{
				Failures: []work.FailedRun{{Step: -1, Run: 1}, {Index: 7, Run: 1}},
				Crashes:  []work.CrashedRun{{Index: -1, Run: 1}, {Occurrence: 3, Run: 1}, {Step: 9, Run: 1, Trial: true}},
			})
		})
		time.Sleep(4 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}
