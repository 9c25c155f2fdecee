package schedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against a backlog that keeps itself from being worked off: hundreds of workers are idle beside 25,000 waiting
// tasks, and the jobs of other pools wait for the same starts in flight.
func TestLateBacklogAfterRestart(t *testing.T) {
	for _, latency := range []time.Duration{0, 120 * time.Millisecond} {
		t.Run(fmt.Sprintf("starts take %s", latency), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				r := &restart{b: b, source: &jobSource{random: rand.New(rand.NewPCG(6, 6))}}
				r.submissions = &ledger.SubmissionWriter{Store: b.store.Client("entry")}
				r.run(latency)
			})
		})
	}
}

// restart is a takeover of a fleet of 1,100 instances by a leader that finds 25,000 tasks in one pool whose jobs are all
// late. Then the peak of another pool begins. A third pool has a few jobs all the time.
type restart struct {
	b           *testbed
	source      *jobSource
	submissions *ledger.SubmissionWriter
	submitted   sync.WaitGroup
	// due holds, by job, when the job has to be completed.
	due map[string]time.Time
	// idleSince holds, by worker, since when the workers are idle that were usable and idle at the last sample.
	idleSince map[string]time.Duration
	// jobs and onTime count the jobs of the other pools.
	jobs, onTime map[string]int
}

const (
	// backlogTasks is the number of tasks that wait when the leader takes over.
	backlogTasks = 25000
	// restartTime is the time from the takeover to the end of the test, peakStart and peakEnd are those to the peak.
	restartTime = 4 * time.Second
	peakStart   = 500 * time.Millisecond
	peakEnd     = 2500 * time.Millisecond
	// sampleInterval is the interval between two looks at the workers. None may be idle at both beside a task that it could
	// run.
	sampleInterval = 100 * time.Millisecond
)

func (r *restart) run(latency time.Duration) {
	b := r.b
	r.due, r.jobs, r.onTime = make(map[string]time.Time), make(map[string]int), make(map[string]int)
	for name, count := range backlogPools {
		for i := range count {
			home := string(rune('a' + i%5))
			b.fleet.Add(fmt.Sprintf("%s%d", name, i), name, home, "r"+home+"-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
	}
	for tasks := 0; tasks < backlogTasks; {
		tasks += r.submit("p").Steps[0].Count
	}
	r.submitted.Wait()
	time.Sleep(5 * time.Second)
	b.delayStarts(latency)
	b.startEpoch(1, "p", "q", "r", "t")
	began := time.Now()
	var samples, idle, inUse float64
	mostIdle := 0
	for at := time.Duration(0); at < restartTime; at += 10 * time.Millisecond {
		time.Sleep(time.Until(began.Add(at)))
		if at >= peakStart && at < peakEnd {
			r.submit("q")
		}
		if at%(50*time.Millisecond) == 0 && at < peakEnd {
			r.submit("r")
		}
		r.countCompleted()
		if at%sampleInterval != 0 {
			continue
		}
		n, share := r.sample("p")
		if at < time.Second {
			continue
		}
		samples, idle, inUse, mostIdle = samples+1, idle+float64(n), inUse+share, max(mostIdle, n)
	}
	r.submitted.Wait()
	// Jobs are judged once they are done or due, which many aren't yet.
	for len(r.due) > 0 {
		time.Sleep(10 * time.Millisecond)
		r.countCompleted()
	}
	b.t.Logf("idle workers beside waiting tasks: %.0f on average, %d at most; %.2f of the capacity in use; %d starts", idle/samples, mostIdle, inUse/samples, b.starts())
	for _, pool := range []string{"q", "r"} {
		b.t.Logf("pool %s: %d of %d jobs in time", pool, r.onTime[pool], r.jobs[pool])
		// The pool has workers for all of its tasks, and a job may wait for 0.6 s and more.
		assert.Check(b.t, float64(r.onTime[pool]) >= 0.9*float64(r.jobs[pool]))
	}
	assert.Check(b.t, mostIdle == 0)
	// A worker has room for about 7 tasks; the rest is too small for another one.
	assert.Check(b.t, inUse/samples >= 0.85)
}

// submit stores a job and announces it to the scheduler, if there is one.
func (r *restart) submit(pool string) *work.Job {
	job := r.source.next(pool)
	job.Accepted = time.Now().UnixMilli()
	var durations [][]time.Duration
	criticalPath := time.Duration(0)
	for _, step := range job.Steps {
		times := make([]time.Duration, step.Count)
		for i := range times {
			times[i] = step.Estimate
		}
		durations = append(durations, times)
		criticalPath += step.Estimate
	}
	r.b.checker.Submitted(job, durations, false)
	if pool != "p" {
		r.due[job.ID] = time.Now().Add(600*time.Millisecond + criticalPath*8/5)
		r.jobs[pool]++
	}
	r.submitted.Go(func() {
		stored, err := r.submissions.Submit(context.Background(), job)
		assert.Check(r.b.t, err)
		r.b.checker.Accepted(job.ID)
		if r.b.s != nil {
			r.b.onLoop(func() { r.b.s.AddJob(stored.Job, stored.Version) })
		}
	})
	return job
}

// countCompleted counts the jobs of the other pools that were completed in time.
func (r *restart) countCompleted() {
	r.b.onLoop(func() {
		for id, due := range r.due {
			state, _ := r.b.s.State(id)
			if time.Now().After(due) {
				delete(r.due, id)
			} else if state == work.Completed {
				delete(r.due, id)
				r.onTime[r.b.s.jobs[id].Queue]++
			}
		}
	})
}

// sample returns the number of the pool's workers that were usable and idle at the last sample and still are, beside a
// waiting task of their data centre, and the share of the usable workers' capacity that runs occupy.
func (r *restart) sample(pool string) (idle int, inUse float64) {
	s := r.b.s
	r.b.onLoop(func() {
		now := s.Now()
		waitingIn := make(map[string]bool)
		for _, j := range s.jobs {
			if j.waiting > 0 && j.Queue == pool {
				waitingIn[j.Home] = true
			}
		}
		var capacity, used int64
		idleSince := make(map[string]time.Duration)
		for _, w := range s.workers {
			if w.Pool != pool || !s.usable(w, now) {
				continue
			}
			capacity += w.Capacity.MilliCores
			used += w.used.MilliCores
			if len(w.runs) > 0 || !waitingIn[w.DataCentre] {
				continue
			}
			idleSince[w.ID] = w.idleSince
			since, ok := r.idleSince[w.ID]
			if ok && since == w.idleSince {
				idle++
			}
		}
		r.idleSince = idleSince
		inUse = float64(used) / float64(max(1, capacity))
	})
	return idle, inUse
}

// delayStarts makes starts take the given time in addition, however many there are.
func (b *testbed) delayStarts(latency time.Duration) {
	inner := b.fleet.WorkerClient("leader")
	b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		time.Sleep(latency)
		return inner.Start(ctx, to, o)
	})
}
