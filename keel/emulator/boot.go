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

// Behaviour is how a worker treats its tasks.
type Behaviour struct {
	// Fails ends every run with a failure after a short time.
	Fails bool
	// Hangs lets no run make progress.
	Hangs bool
	// Slow times as long is what every run takes, 0 for 1.
	Slow float64
}

// failTime is how long a run takes to fail on a worker that fails everything.
const failTime = 40 * time.Millisecond

// Boot is one worker: one boot of an instance in one pool. Its fields belong to the fleet's lock.
type Boot struct {
	fleet     *Fleet
	machine   *machine
	id        string
	address   string
	pool      string
	behaviour Behaviour
	draining  bool
	dark      bool
	ended     bool
	sequence  uint64

	fence    int64
	leaseEnd time.Duration
	runs     map[work.TaskID]*run
	// highest holds the highest run of each task that was stopped or has ended here.
	highest map[work.TaskID]int64
	ends    []worker.End
	lastEnd int64
	// acknowledged is the last end that the callers have taken note of.
	acknowledged int64

	began     time.Time
	rate      float64
	offset    time.Duration
	accounted time.Time
	timer     *time.Timer
	changed   chan struct{}
}

// run is a run of a task on a worker.
type run struct {
	task    work.TaskID
	number  int64
	step    *work.Step
	started time.Time
	// done is the work done, total what it takes, saved what the newest checkpoint holds.
	done, total, saved time.Duration
	// resumes is until when a resumed run restores its checkpoint.
	resumes time.Time
	// stopsAt is when a run that was told to stop ends, zero for others.
	stopsAt time.Time
	fails   bool
	pace    float64
	// alone reports that other members of the gang are missing.
	alone bool
}

func (b *Boot) clock() time.Duration {
	return b.offset + time.Duration(float64(time.Since(b.began))*b.rate)
}

// register writes the worker's registration.
func (b *Boot) register() {
	b.sequence++
	m := b.machine
	value, _ := json.Marshal(worker.Registration{
		ID: b.id, Pool: b.pool, Address: b.address, DataCentre: m.dataCentre, Labels: []string{m.rack}, Rack: m.rack,
		Capacity: m.room, Draining: b.draining, Clock: b.clock(), Instance: m.id, Sequence: b.sequence,
	})
	b.fleet.store.Put(table.Write{Key: b.key(), Value: value})
}

// DecodeRegistration reads a registration row of the emulator.
func DecodeRegistration(row table.Row) (worker.Registration, error) {
	var r worker.Registration
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// heartbeats writes the registration again and again until the worker ends.
func (b *Boot) heartbeats() {
	for {
		time.Sleep(b.fleet.Times.Heartbeat)
		b.fleet.mu.Lock()
		ended := b.ended
		if !ended && !b.dark && !b.fleet.cuts[storeCaller][b.machine.dataCentre] {
			b.register()
		}
		b.fleet.mu.Unlock()
		if ended {
			return
		}
	}
}

// storeCaller stands for the store in cuts of a data centre.
const storeCaller = "store"

// CutStore keeps the workers of a data centre from registering, or lets them again.
func (f *Fleet) CutStore(dataCentre string, cut bool) {
	f.Cut(storeCaller, dataCentre, cut)
	if !cut {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		b := m.boot
		if b == nil || m.dataCentre != dataCentre {
			continue
		}
		time.AfterFunc(registrationSilence*f.Times.Heartbeat, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.cuts[storeCaller][dataCentre] {
				f.store.Remove(b.key())
			}
		})
	}
}

func (b *Boot) endLocked() {
	b.accountLocked()
	b.ended = true
	for id, r := range b.runs {
		b.fleet.Truth.runOver(b, r, "")
		delete(b.runs, id)
	}
	b.wakeLocked()
	if b.timer != nil {
		b.timer.Stop()
	}
}

func (b *Boot) wakeLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// fenced takes in an order's token and reports whether it is too low.
func (b *Boot) fenced(token int64) bool {
	if token < b.fence {
		return true
	}
	b.fence = token
	return false
}

func (b *Boot) extend(end time.Duration) {
	b.leaseEnd = max(b.leaseEnd, min(end, b.clock()+b.fleet.Times.LeaseMax))
}

func (b *Boot) start(o worker.StartOrder) worker.Reply {
	b.fleet.Starts++
	if b.fenced(o.Token) {
		return worker.Reply{Refusal: worker.Fenced}
	}
	b.extend(o.LeaseEnd)
	old := b.runs[o.Task]
	switch {
	case old != nil && old.number == o.Run:
		return worker.Reply{}
	case old != nil || o.Run <= b.highest[o.Task]:
		return worker.Reply{Refusal: worker.Superseded}
	case b.leaseEnd <= b.clock():
		return worker.Reply{Refusal: worker.Expired}
	}
	b.begin(o)
	return worker.Reply{}
}

func (b *Boot) begin(o worker.StartOrder) {
	t := b.fleet.Truth
	step, total := t.started(b, o)
	if step == nil {
		return
	}
	r := &run{task: o.Task, number: o.Run, step: step, started: time.Now(), total: total, pace: 1}
	r.fails = t.poisoned(o.Task)
	if o.Checkpoint != "" {
		ms, _ := strconv.ParseInt(strings.SplitN(o.Checkpoint, "-", 2)[0], 16, 64)
		r.done = time.Duration(ms) * time.Millisecond
		r.saved = r.done
		r.resumes = time.Now().Add(b.fleet.Times.Restore)
	}
	r.alone = step.Gang
	b.runs[o.Task] = r
	if step.Gang {
		b.fleet.joinGang(r)
	}
}

// joinGang lets a gang work once all members of one run are there.
func (f *Fleet) joinGang(r *run) {
	var members []*run
	var boots []*Boot
	for _, b := range f.boots {
		for id, other := range b.runs {
			if !b.ended && other.number == r.number && id.StepName() == r.task.StepName() {
				members = append(members, other)
				boots = append(boots, b)
			}
		}
	}
	if len(members) < r.step.Count {
		return
	}
	for i, m := range members {
		boots[i].accountLocked()
		m.alone = false
		boots[i].planLocked()
	}
}

func (b *Boot) stop(o worker.StopOrder) worker.Reply {
	if b.fenced(o.Token) {
		return worker.Reply{Refusal: worker.Fenced}
	}
	b.highest[o.Task] = max(b.highest[o.Task], o.Run)
	r := b.runs[o.Task]
	if r != nil && r.number <= o.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(b.fleet.Times.StopTime / 2)
		b.fleet.Truth.stopOrdered(b, r)
	}
	return worker.Reply{}
}

func (b *Boot) pace(o worker.ThrottleOrder) worker.Reply {
	if b.fenced(o.Token) {
		return worker.Reply{Refusal: worker.Fenced}
	}
	r := b.runs[o.Task]
	if r != nil && r.number == o.Run {
		r.pace = float64(o.Percent) / 100
	}
	return worker.Reply{}
}

// look carries out a renewal and returns what the worker lists.
func (b *Boot) look(o worker.RenewOrder) (worker.Status, chan struct{}) {
	f := b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.ended {
		return worker.Status{Reply: worker.Reply{Refusal: worker.OtherBoot}}, b.changed
	}
	f.Looks++
	b.accountLocked()
	if b.fenced(o.Token) {
		return worker.Status{Reply: worker.Reply{Clock: b.clock(), Refusal: worker.Fenced}}, b.changed
	}
	if o.LeaseEnd > 0 {
		b.extend(o.LeaseEnd)
	}
	if o.Acknowledged > b.acknowledged {
		b.acknowledged = o.Acknowledged
		f.Truth.acknowledged(b, o.Acknowledged)
		b.ends = slices.DeleteFunc(b.ends, func(e worker.End) bool { return e.Number <= o.Acknowledged })
	}
	b.planLocked()
	status := worker.Status{Reply: worker.Reply{Clock: b.clock()}, Ended: slices.Clone(b.ends)}
	for _, r := range b.runs {
		status.Running = append(status.Running, worker.Run{Task: r.task, Run: r.number, Checkpoint: r.checkpoint(), Percent: r.percent(), Load: -1})
	}
	return status, b.changed
}
