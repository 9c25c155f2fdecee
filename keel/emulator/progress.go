package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/worker"
)

func (r *run) checkpoint() string {
	if r.checkpointed == 0 {
		return ""
	}
	return fmt.Sprintf("%08x-%s", r.checkpointed.Milliseconds(), r.task.Job)
}

func (r *run) percent() float64 {
	if r.total <= 0 {
		return 100
	}
	return min(100, 100*float64(r.done)/float64(r.total))
}

// speed returns the work that a run does per unit of time, 1 at full speed.
func (w *Worker) speed(r *run) float64 {
	switch {
	case w.behaviour.Hangs || r.gangIncomplete:
		return 0
	case w.behaviour.SlowFactor > 0:
		return r.cpuShare / (w.behaviour.SlowFactor * w.slowdown(r, false))
	}
	return r.cpuShare / w.slowdown(r, false)
}

// noteServing records once that a long-running task is ready.
func (w *Worker) noteServing(r *run) {
	if !r.step.LongRunning || r.serving || r.fails || r.done < r.total {
		return
	}
	r.serving = true
	w.fleet.Checker.recordServing(r.task)
}

// updateLocked advances all runs to the current time and ends those that are due.
func (w *Worker) updateLocked() {
	now := time.Now()
	from := w.updated
	w.updated = now
	if w.ended {
		return
	}
	lapsed := w.clock() >= w.leaseEnd
	for _, r := range w.sortedRuns() {
		w.advance(r, from, now)
		w.noteServing(r)
		switch {
		case w.runs[r.task] != r:
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			w.finish(r, worker.Stopped)
		case lapsed:
			w.finish(r, worker.LeaseExpired)
		case w.behaviour.Fails && now.Sub(r.started) >= failTime, r.fails && r.done >= r.total:
			w.finish(r, worker.Failed)
		case r.gangIncomplete && now.Sub(r.started) >= w.fleet.Times.GangTimeout:
			w.finish(r, worker.GangIncomplete)
		case !r.step.LongRunning && r.done >= r.total:
			w.finish(r, worker.Done)
		}
	}
}

func (w *Worker) sortedRuns() []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y *run) int { return strings.Compare(x.task.String(), y.task.String()) })
	return all
}

func (w *Worker) advance(r *run, from, now time.Time) {
	if r.started.After(from) {
		from = r.started
	}
	if r.restoredAt.After(from) {
		from = r.restoredAt
	}
	if now.After(from) {
		r.done += time.Duration(float64(now.Sub(from)) * w.speed(r))
	}
	if r.step.Checkpoints && w.fleet.Times.CheckpointEvery > 0 {
		r.checkpointed = max(r.checkpointed, r.done/w.fleet.Times.CheckpointEvery*w.fleet.Times.CheckpointEvery)
	}
}

// finish ends a run and records the end, which the worker reports until it is acknowledged.
func (w *Worker) finish(r *run, kind worker.EndKind) {
	if kind == worker.Stopped && r.step.Checkpoints {
		r.checkpointed = r.done
	}
	delete(w.runs, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, worker.End{Number: w.lastEnd, Task: r.task, Run: r.number, Kind: kind, Checkpoint: r.checkpoint()})
	w.fleet.Checker.recordEnd(w, r, kind)
	w.wakeLocked()
	if r.step.Gang {
		w.endGang(r, kind)
	}
}

// endGang ends the other members of a gang after one of them has ended.
func (w *Worker) endGang(r *run, kind worker.EndKind) {
	if kind != worker.Done {
		kind = worker.GangBroken
	}
	for _, other := range w.fleet.workers {
		for id, member := range other.runs {
			if member.number == r.number && id.StepName() == r.task.StepName() && !member.gangIncomplete {
				other.finish(member, kind)
			}
		}
	}
}

// scheduleLocked sets the timer to the next time at which a run can end without an order.
func (w *Worker) scheduleLocked() {
	if w.ended || len(w.runs) == 0 {
		return
	}
	next := time.Duration(float64(w.leaseEnd-w.clock())/w.clockRate) + time.Millisecond
	for _, r := range w.runs {
		next = min(next, w.nextEvent(r))
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(max(next, time.Millisecond), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.updateLocked()
		w.scheduleLocked()
	})
}

// nextEvent returns the time until a run ends without an order, not counting the expiry of the lease.
func (w *Worker) nextEvent(r *run) time.Duration {
	next := time.Hour
	if !r.stopsAt.IsZero() {
		next = time.Until(r.stopsAt)
	}
	if w.behaviour.Fails {
		next = min(next, failTime-time.Since(r.started))
	}
	if r.gangIncomplete {
		next = min(next, w.fleet.Times.GangTimeout-time.Since(r.started))
	}
	speed := w.speed(r)
	if speed > 0 && !r.step.LongRunning {
		next = min(next, max(0, time.Until(r.restoredAt))+time.Duration(float64(r.total-r.done)/speed))
	}
	return next
}
