package schedule

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// taskCostWorkers is the number of workers in taskCostDataCentres data centres.
	taskCostWorkers     = 700
	taskCostDataCentres = 5
	// taskCostCommit is the duration of a transaction, taskCostPath that of an order to a worker and its reply.
	taskCostCommit = 20 * time.Millisecond
	taskCostPath   = 4 * time.Millisecond
	// taskCostSpec is the size of a job's spec in bytes.
	taskCostSpec = 1000
	// taskCostWarmUp is the time before the measurement.
	taskCostWarmUp = 3 * time.Second
)

// taskCostFleet is a scheduler in real time with workers that exist only on its control loop: they take no goroutines, no
// locks and no encoding.
type taskCostFleet struct {
	s      *Scheduler
	ctx    context.Context
	loop   *control.Loop
	random *rand.Rand
	began  time.Time
	// due holds, by millisecond modulo its length, what is to run then. now is the millisecond that ran last.
	due     [4096][]func()
	now     int64
	workers map[string]*taskCostWorker
	// templates holds encoded jobs with taskCostID for the ID.
	templates []taskCostTemplate
	jobs      int
	// owed is the number of tasks that are yet to arrive by the rate.
	owed            float64
	arriving        bool
	ended, renewals int
	commits, rows   atomic.Int64
	version         atomic.Uint64
	load            taskCostLoad
}

// taskCostLoad is what arrives at the fleet.
type taskCostLoad struct {
	name string
	// rate is the number of tasks a second, with 12.8 tasks a job.
	rate int
	// milliCores is the capacity of a worker.
	milliCores int64
}

// taskCostTemplate is an encoded job without its ID.
type taskCostTemplate struct {
	value string
	tasks int
}

// taskCostID stands for the ID in the template of a job.
const taskCostID = "ffffffffffffffff"

// taskCostWorker is a worker that accepts each start and ends its run after the task's duration.
type taskCostWorker struct {
	runs    map[work.TaskID]int64
	ends    []worker.End
	lastEnd int64
	// held answers the renewal that the worker holds open.
	held func()
}

// at calls f on the loop after the delay.
func (f *taskCostFleet) at(delay time.Duration, call func()) {
	slot := (f.now + max(1, delay.Milliseconds())) % int64(len(f.due))
	f.due[slot] = append(f.due[slot], call)
}

// advance runs what is due.
func (f *taskCostFleet) advance() {
	for now := time.Since(f.began).Milliseconds(); f.now < now; {
		f.now++
		slot := f.now % int64(len(f.due))
		calls := f.due[slot]
		f.due[slot] = nil
		for _, call := range calls {
			call()
		}
		clear(calls)
		if f.due[slot] == nil {
			f.due[slot] = calls[:0]
		}
		f.arrive()
	}
}

// arrive adds the jobs of one millisecond.
func (f *taskCostFleet) arrive() {
	if !f.arriving {
		return
	}
	f.owed += float64(f.load.rate) / 1000
	for f.owed > 0 {
		f.jobs++
		template := f.templates[f.jobs%len(f.templates)]
		f.owed -= float64(template.tasks)
		id := fmt.Sprintf("%016x", f.jobs)
		row := table.Row{Key: ledger.SubmissionKey(id), Value: []byte(strings.Replace(template.value, taskCostID, id, 1)), Version: backlogVersion}
		submission, err := ledger.DecodeSubmission(row)
		if err != nil {
			panic(err)
		}
		submission.Job.Accepted = time.Now().UnixMilli()
		f.s.AddJob(submission.Job, submission.Version)
	}
}

func (f *taskCostFleet) submitStart(to worker.Target, o worker.StartOrder, _ time.Duration, done func(worker.Reply, time.Duration, error)) bool {
	f.at(taskCostPath, func() {
		w := f.workers[to.ID]
		w.runs[o.Task] = o.Run
		done(worker.Reply{Clock: f.s.Now()}, taskCostPath, nil)
	})
	f.at(taskCostPath+time.Duration(100+f.random.IntN(1080))*time.Millisecond, func() {
		w := f.workers[to.ID]
		if w.runs[o.Task] != o.Run {
			return
		}
		delete(w.runs, o.Task)
		f.ended++
		w.lastEnd++
		w.ends = append(w.ends, worker.End{Number: w.lastEnd, Task: o.Task, Run: o.Run, Kind: worker.Done})
		if w.held != nil {
			w.held()
		}
	})
	return true
}

func (f *taskCostFleet) submitStop(to worker.Target, o worker.StopOrder, _ time.Duration, done func(worker.Reply, time.Duration, error)) bool {
	f.at(taskCostPath, func() {
		delete(f.workers[to.ID].runs, o.Task)
		done(worker.Reply{Clock: f.s.Now()}, taskCostPath, nil)
	})
	return true
}

func (f *taskCostFleet) submitRenew(to worker.Target, o worker.RenewOrder, _ time.Duration, done func(worker.Status, error)) bool {
	w := f.workers[to.ID]
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered, w.held = true, nil
		f.renewals++
		status := worker.Status{Reply: worker.Reply{Clock: f.s.Now()}, Ended: slices.Clone(w.ends)}
		if status.Partial = o.EndsSuffice && len(w.ends) > 0; !status.Partial {
			for id, number := range w.runs {
				status.Running = append(status.Running, worker.Run{Task: id, Run: number, Percent: float64(f.now%100000) / 1000, Load: -1})
			}
		}
		f.at(taskCostPath/2, func() { done(status, nil) })
	}
	f.at(taskCostPath/2, func() {
		w.ends = slices.DeleteFunc(w.ends, func(e worker.End) bool { return e.Number <= o.Acknowledged })
		if len(w.ends) > 0 || o.Wait == 0 {
			answer()
			return
		}
		w.held = answer
		f.at(o.Wait, answer)
	})
	return true
}

// commit takes as long as a transaction. It stores only what isn't written for each job.
func (f *taskCostFleet) commit(inner *table.Store) func(context.Context, table.Txn) (table.Result, error) {
	return func(ctx context.Context, txn table.Txn) (table.Result, error) {
		time.Sleep(taskCostCommit)
		perJob := len(txn.Writes) > 0 && (txn.Writes[0].Table == ledger.JobRecords || txn.Writes[0].Table == ledger.Submissions)
		if !perJob {
			return inner.Commit(ctx, txn)
		}
		f.commits.Add(1)
		f.rows.Add(int64(len(txn.Writes)))
		return table.Result{Version: f.version.Add(1)}, nil
	}
}

// onLoop runs do on the loop and waits for it.
func (f *taskCostFleet) onLoop(do func()) {
	done := make(chan struct{})
	f.loop.Post(f.ctx, func() {
		do()
		close(done)
	})
	<-done
}

// newTaskCostFleet returns a fleet whose workers are usable.
func newTaskCostFleet(b *testing.B, load taskCostLoad) *taskCostFleet {
	b.Helper()
	f := &taskCostFleet{random: rand.New(rand.NewPCG(5, 5)), began: time.Now(), workers: make(map[string]*taskCostWorker), load: load}
	f.version.Store(backlogVersion)
	f.loop = control.New(4000)
	f.addTemplates()
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	started, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- f.loop.Run(ctx, func() { close(started) }) }()
	<-started
	f.s = f.newScheduler()
	f.onLoop(f.s.Begin)
	ticker := time.NewTicker(time.Millisecond)
	go func() {
		for range ticker.C {
			if ctx.Err() != nil {
				return
			}
			f.onLoop(f.advance)
		}
	}()
	b.Cleanup(func() {
		f.onLoop(f.s.End)
		ticker.Stop()
		cancel()
		assert.NilError(b, <-ended)
	})
	return f
}

// addTemplates adds jobs with sizes as those of the class bench-scan of deployment qdw-keel-large, whose homes are spread
// over the data centres.
func (f *taskCostFleet) addTemplates() {
	jobs := &jobSource{random: f.random}
	for i := range 1000 {
		job := jobs.next("p")
		job.ID, job.Home = taskCostID, string(rune('a'+i%taskCostDataCentres))
		job.Spec = strings.Repeat("0123456789", taskCostSpec/10)
		f.templates = append(f.templates, taskCostTemplate{string(ledger.Encode(job)), job.Tasks()})
	}
}

func (f *taskCostFleet) newScheduler() *Scheduler {
	store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
	var instances []provider.Instance
	for i := range taskCostWorkers {
		id, dataCentre := fmt.Sprintf("p%d", i), string(rune('a'+i%taskCostDataCentres))
		instance := provider.Instance{
			ID: id, Pool: "p", State: provider.Up, DataCentre: dataCentre, Worker: "w-" + id, Capacity: work.Size{MilliCores: f.load.milliCores, MemoryMB: 32768},
		}
		f.workers[instance.Worker] = &taskCostWorker{runs: make(map[work.TaskID]int64)}
		value, _ := json.Marshal(worker.Registration{
			ID: instance.Worker, Pool: "p", Address: id + ":80", DataCentre: dataCentre, Rack: "r" + dataCentre,
			Capacity: instance.Capacity, Clock: time.Hour, Instance: id, Sequence: 1,
		})
		store.Put(table.Write{Key: table.Key{Table: emulator.RegistrationTable, Name: instance.Worker}, Value: value})
		instances = append(instances, instance)
	}
	client := store.Client("leader")
	inner := *client
	client.Commit = f.commit(&inner)
	accepting := acceptingWorkers()
	accepting.SubmitStart, accepting.SubmitStop, accepting.SubmitRenew = f.submitStart, f.submitStop, f.submitRenew
	queues := []*queue.Queue{{Name: "p", Pool: "p", MaxAttempts: 4, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}}
	return &Scheduler{
		Loop: f.loop, Log: &event.NewBounded(io.Discard, event.LinesPerSecond).Log, Store: client, Workers: accepting,
		Provider: &provider.Client{
			List: func(context.Context, string) (provider.Page, error) { return provider.Page{Instances: instances}, nil },
		},
		Bounds: deployment.Bounds{
			LeaseMax: 10 * time.Second, StopTime: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond,
			MaintenanceTime: 2 * time.Second, DisruptionTime: 4500 * time.Millisecond, Restore: 100 * time.Millisecond,
		},
		Limits: deployment.InstanceService{OrdersPerSecond: 64}, Holder: "leader", Epoch: 1,
		Config:             queue.NewConfig(1, queues, []queue.Pool{{Name: "p"}}, queue.Limits{}),
		InstanceOrdersFrom: make(map[string]time.Duration),
		Now:                func() time.Duration { return time.Since(f.began) + time.Hour },
		Wall:               func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		LeaseValid:         func() bool { return true },
		Rows: RowCodec{
			Registration: emulator.DecodeRegistration, RegistrationTable: emulator.RegistrationTable,
			WaveStatus: func(int64, bool) table.Write { return table.Write{Key: table.Key{Table: "status", Name: "wave"}} },
		},
	}
}

// taskCostSample is what the process has used, and what the fleet has done, up to a time.
type taskCostSample struct {
	at                         time.Time
	processor                  time.Duration
	bytes, objects             uint64
	ended, renewals, passes    int
	jobs                       int
	rows, commits              int64
	openJobs, knownJobs, waits int
}

func (f *taskCostFleet) sample() taskCostSample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := taskCostSample{
		at: time.Now(), processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), bytes: memory.TotalAlloc, objects: memory.Mallocs,
		rows: f.rows.Load(), commits: f.commits.Load(),
	}
	f.onLoop(func() {
		s.ended, s.renewals, s.passes, s.jobs, s.knownJobs = f.ended, f.renewals, f.s.passes, f.jobs, len(f.s.jobs)
		for _, j := range f.s.jobs {
			if j.open() {
				s.openJobs++
				s.waits += j.waiting
			}
		}
	})
	return s
}

// BenchmarkTaskCost measures the leader's processor time and memory per task, from a job's submission to its stored
// outcome, without the exchange with the workers and the store: with -benchtime 50000x, for instance, over 50,000 tasks.
func BenchmarkTaskCost(b *testing.B) {
	for _, load := range []taskCostLoad{{"room", 4000, 16000}, {"backlog", 4000, 7000}} {
		b.Run(load.name, func(b *testing.B) { benchmarkTaskCost(b, load) })
	}
}

func benchmarkTaskCost(b *testing.B, load taskCostLoad) {
	f := newTaskCostFleet(b, load)
	for usable := 0; usable < taskCostWorkers; time.Sleep(10 * time.Millisecond) {
		f.onLoop(func() {
			usable = 0
			for _, w := range f.s.workers {
				if f.s.usable(w, f.s.Now()) {
					usable++
				}
			}
		})
	}
	f.onLoop(func() { f.arriving = true })
	time.Sleep(taskCostWarmUp)
	b.ResetTimer()
	before := f.sample()
	after := before
	for after.ended-before.ended < b.N {
		time.Sleep(50 * time.Millisecond)
		f.onLoop(func() { after.ended = f.ended })
	}
	after = f.sample()
	b.StopTimer()
	tasks := float64(after.ended - before.ended)
	b.ReportMetric(float64(after.processor-before.processor)/float64(time.Microsecond)/tasks, "cpu-µs/task")
	b.ReportMetric(float64(after.bytes-before.bytes)/tasks, "B/task")
	b.ReportMetric(float64(after.objects-before.objects)/tasks, "objects/task")
	b.ReportMetric(float64(after.renewals-before.renewals)/tasks, "renewals/task")
	b.ReportMetric(float64(after.rows-before.rows)/tasks, "rows/task")
	b.ReportMetric(float64(after.passes-before.passes)/tasks, "passes/task")
	b.ReportMetric(tasks/after.at.Sub(before.at).Seconds(), "tasks/s")
	b.ReportMetric(float64(after.waits), "waiting")
	b.ReportMetric(f.liveBytes()/float64(after.knownJobs), "live-B/job")
	b.ReportMetric(float64(after.openJobs)/float64(after.knownJobs), "open/job")
}

// liveBytes returns the live heap without the templates.
func (f *taskCostFleet) liveBytes() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}
