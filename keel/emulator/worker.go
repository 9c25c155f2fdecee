package emulator

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Behaviour is a fault of a worker that affects all its runs; the zero value is a healthy worker.
type Behaviour struct {
	// Fails makes every run fail after failTime.
	Fails bool
	// Hangs stops the progress of all runs.
	Hangs bool
	// SlowFactor is the factor by which runs take longer; 0 means 1.
	SlowFactor float64
}

// failTime is the time after which a run fails on a worker whose behaviour is Fails.
const failTime = 40 * time.Millisecond

// Worker is an emulated worker, one boot of an instance in one pool; its fields are guarded by the fleet's mutex.
type Worker struct {
	fleet    *Fleet
	instance *instance
	id       string
	// started is when the worker booted, as it says of itself, 0 if it doesn't.
	started int64
	address string
	pool    string
	// capacity is what the worker reports of itself, past what it reported before.
	capacity  work.Size
	past      []pastCapacity
	behaviour Behaviour
	draining  bool
	// unreachable makes calls to the worker get no response, and silent stops its heartbeats.
	unreachable, silent bool
	// disturbed is set while a test disturbs the calls to the worker.
	disturbed bool
	ended     bool
	sequence  uint64
	// executesLate is set while an order is carried out that was delayed by the fleet's lateShare.
	executesLate bool
	// laterBoot is set for a boot under the ID of an earlier one, and heardAt is when it first responded to a renewal.
	laterBoot bool
	heardAt   time.Time
	// lostStops holds, by task, the last order to stop a run that is carried out late.
	lostStops map[work.TaskID]lostStop

	// highestToken is the highest fencing token that the worker has seen.
	highestToken int64
	// leaseEnd is the end of the lease on the worker's clock.
	leaseEnd time.Duration
	runs     map[work.TaskID]*run
	// highestRun is the highest run number of each task that was stopped or has ended on the worker.
	highestRun map[work.TaskID]int64
	// ends lists the ends that haven't been acknowledged; lastEnd is the number of the last end.
	ends    []worker.End
	lastEnd int64
	// acknowledged is the number of the last end that a scheduler has acknowledged.
	acknowledged int64
	// lapsedEnd is the number of the last end before the lease last expired.
	lapsedEnd int64

	// bootedAt, clockRate and clockOffset define the worker's clock, which is slow and starts at an arbitrary time.
	bootedAt    time.Time
	clockRate   float64
	clockOffset time.Duration
	// updated is the time up to which the progress of the runs has been computed.
	updated time.Time
	// timer fires at the next time at which a run ends.
	timer *time.Timer
	// changed is closed when a run or the worker ends.
	changed chan struct{}
}

// run is a run of a task on a worker.
type run struct {
	task    work.TaskID
	number  int64
	step    *work.Step
	started time.Time
	// serving is set once a long-running task is ready.
	serving bool
	// done is the completed work, total all of it, and checkpointed the work in the newest checkpoint, at full speed.
	done, total, checkpointed time.Duration
	// restoredAt is the time at which a resumed run has restored its checkpoint.
	restoredAt time.Time
	// stopsAt is the time at which a run ends that was ordered to stop, zero if it wasn't.
	stopsAt time.Time
	// fails makes the run fail instead of finish.
	fails bool
	// cpuShare is the share of full speed that a throttled run keeps, from 0 to 1.
	cpuShare float64
	// gangIncomplete reports that some members of the gang haven't been started; until then the run makes no progress.
	gangIncomplete bool
	// harmedSince is when best-effort runs began to keep the run over its target, zero if they don't.
	harmedSince time.Time
	// unasked is set for a run that began although no scheduler could have prevented it (Worker.startsUnasked).
	unasked bool
}

func (w *Worker) clock() time.Duration {
	return w.clockOffset + time.Duration(float64(time.Since(w.bootedAt))*w.clockRate)
}

// register writes the worker's registration row with the next sequence number.
func (w *Worker) register() {
	w.sequence++
	inst := w.instance
	value, _ := json.Marshal(worker.Registration{
		ID: w.id, Started: w.started, Pool: w.pool, Address: w.address, DataCentre: inst.dataCentre, Labels: []string{inst.rack}, Rack: inst.rack,
		Capacity: w.capacity, Draining: w.draining, Clock: w.clock(), Instance: inst.id, Sequence: w.sequence,
	})
	w.fleet.store.Put(table.Write{Key: w.key(), Value: value})
}

// DecodeRegistration decodes a registration row of the emulator.
func DecodeRegistration(row table.Row) (worker.Registration, error) {
	var r worker.Registration
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// sendHeartbeats rewrites the registration at each heartbeat interval until the worker ends.
func (w *Worker) sendHeartbeats() {
	for {
		time.Sleep(w.fleet.Times.Heartbeat)
		w.fleet.mu.Lock()
		ended := w.ended
		if !ended && !w.silent && !w.fleet.partitioned[storeCaller][w.instance.dataCentre] {
			w.register()
		}
		w.fleet.mu.Unlock()
		if ended {
			return
		}
	}
}

// storeCaller is the key in Fleet.partitioned for data centres whose workers can't reach the store.
const storeCaller = "store"

// SetStorePartitioned partitions the workers of a data centre from the store, or ends the partition; the registrations
// of partitioned workers expire after registrationTTLHeartbeats.
func (f *Fleet) SetStorePartitioned(dataCentre string, partitioned bool) {
	f.SetPartitioned(storeCaller, dataCentre, partitioned)
	if !partitioned {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.instances {
		w := inst.worker
		if w == nil || inst.dataCentre != dataCentre {
			continue
		}
		time.AfterFunc(registrationTTLHeartbeats*f.Times.Heartbeat, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.partitioned[storeCaller][dataCentre] {
				f.removeRegistrationLocked(w)
			}
		})
	}
}

func (w *Worker) endLocked() {
	w.updateLocked()
	w.ended = true
	for id, r := range w.runs {
		w.fleet.Checker.recordEnd(w, r, "")
		delete(w.runs, id)
		if r.step.Gang && !r.gangIncomplete {
			w.endGang(r, "")
		}
	}
	w.wakeLocked()
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *Worker) wakeLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// fenced reports whether an order's fencing token is lower than the highest one seen, and records it otherwise.
func (w *Worker) fenced(token int64) bool {
	if token < w.highestToken {
		return true
	}
	w.highestToken = token
	return false
}

// recordLapse records the last end before the lease expired, if it has.
func (w *Worker) recordLapse() {
	if w.clock() >= w.leaseEnd {
		w.lapsedEnd = w.lastEnd
	}
}

func (w *Worker) extendLease(end time.Duration) {
	w.recordLapse()
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock()+w.fleet.Times.LeaseMax))
}

func (w *Worker) start(o worker.StartOrder) worker.Reply {
	w.fleet.Starts++
	if w.fenced(o.Token) {
		return worker.Reply{Refusal: worker.Fenced}
	}
	w.extendLease(o.LeaseEnd)
	old := w.runs[o.Task]
	switch {
	case old != nil && old.number == o.Run:
		return worker.Reply{}
	case old != nil || o.Run <= w.highestRun[o.Task]:
		return worker.Reply{Refusal: worker.Superseded}
	case w.leaseEnd <= w.clock():
		return worker.Reply{Refusal: worker.Expired}
	case !w.hasTicket(o):
		return worker.Reply{Refusal: worker.NoTicket}
	}
	w.startRun(o)
	return worker.Reply{}
}

func (w *Worker) startRun(o worker.StartOrder) {
	checker := w.fleet.Checker
	step, total := checker.recordStart(w, o)
	if step == nil {
		return
	}
	r := &run{task: o.Task, number: o.Run, step: step, started: time.Now(), total: total, cpuShare: 1}
	r.unasked = w.startsUnasked(o)
	r.fails = checker.poisoned(o.Task)
	if o.Checkpoint != "" {
		ms, _ := strconv.ParseInt(strings.SplitN(o.Checkpoint, "-", 2)[0], 16, 64)
		r.done = time.Duration(ms) * time.Millisecond
		r.checkpointed = r.done
		r.restoredAt = time.Now().Add(w.fleet.Times.Restore)
	}
	r.gangIncomplete = step.Gang
	w.runs[o.Task] = r
	after, deadly := checker.crashesAfter(o.Task)
	if deadly {
		w.crashLater(r, after)
	}
	if step.Gang {
		w.fleet.joinGang(r)
	}
}

// joinGang starts the progress of a gang once all its members with the run's number have been started.
func (f *Fleet) joinGang(r *run) {
	var members []*run
	var workers []*Worker
	for _, w := range f.workers {
		for id, other := range w.runs {
			if !w.ended && other.number == r.number && id.StepName() == r.task.StepName() {
				members = append(members, other)
				workers = append(workers, w)
			}
		}
	}
	if len(members) < r.step.Count {
		return
	}
	for i, m := range members {
		workers[i].updateLocked()
		m.gangIncomplete = false
		workers[i].scheduleLocked()
	}
}

func (w *Worker) stop(o worker.StopOrder) worker.Reply {
	if w.fenced(o.Token) {
		return worker.Reply{Refusal: worker.Fenced}
	}
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	r := w.runs[o.Task]
	if r != nil && r.number <= o.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(w.fleet.Times.StopTime / 2)
		w.fleet.Checker.checkStop(w, r)
	}
	return worker.Reply{}
}

func (w *Worker) throttle(o worker.ThrottleOrder) worker.Reply {
	if w.fenced(o.Token) {
		return worker.Reply{Refusal: worker.Fenced}
	}
	r := w.runs[o.Task]
	if r != nil && r.number == o.Run {
		r.cpuShare = float64(o.Percent) / 100
	}
	return worker.Reply{}
}

// renew renews the lease and returns the worker's status, with a channel that is closed when the status changes; it
// returns false if the worker has ended or can't be reached.
func (w *Worker) renew(o worker.RenewOrder) (worker.Status, chan struct{}, bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.ended || w.unreachable {
		return worker.Status{}, nil, false
	}
	f.Renewals++
	w.updateLocked()
	w.recordLapse()
	if w.fenced(o.Token) {
		return worker.Status{Reply: worker.Reply{Clock: w.clock(), Refusal: worker.Fenced, Started: w.started}}, w.changed, true
	}
	if o.LeaseEnd > 0 {
		w.extendLease(o.LeaseEnd)
	}
	if o.Acknowledged > w.acknowledged {
		w.acknowledged = o.Acknowledged
		f.Checker.recordAcknowledgement(w, o.Acknowledged)
		w.ends = slices.DeleteFunc(w.ends, func(e worker.End) bool { return e.Number <= o.Acknowledged })
	}
	listed := w.ends[:min(len(w.ends), f.MaxListedEnds)]
	f.Checker.recordListed(listed)
	w.scheduleLocked()
	status := worker.Status{Reply: worker.Reply{Clock: w.clock(), Started: w.started}, Ended: slices.Clone(listed), MoreEnds: len(listed) == f.MaxListedEnds}
	for _, r := range w.runs {
		status.Running = append(status.Running, worker.Run{Task: r.task, Run: r.number, Checkpoint: r.checkpoint(), Percent: r.percent(), Load: w.load(r)})
	}
	return status, w.changed, true
}
