package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/worker"
)

func (r *run) checkpoint() string {
	if r.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%08x-%s", r.saved.Milliseconds(), r.task.Job)
}

func (r *run) percent() float64 {
	if r.total <= 0 {
		return 100
	}
	return min(100, 100*float64(r.done)/float64(r.total))
}

// speed is the work that a run does in a unit of time.
func (b *Boot) speed(r *run) float64 {
	switch {
	case b.behaviour.Hangs || r.alone:
		return 0
	case b.behaviour.Slow > 0:
		return r.pace / b.behaviour.Slow
	}
	return r.pace
}

// accountLocked brings the runs up to now and ends those whose time has come.
func (b *Boot) accountLocked() {
	now := time.Now()
	from := b.accounted
	b.accounted = now
	if b.ended {
		return
	}
	lapsed := b.clock() >= b.leaseEnd
	for _, r := range b.sortedRuns() {
		b.advance(r, from, now)
		switch {
		case b.runs[r.task] != r:
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			b.finish(r, worker.Stopped)
		case lapsed:
			b.finish(r, worker.LeaseExpired)
		case b.behaviour.Fails && now.Sub(r.started) >= failTime, r.fails && r.done >= r.total && !r.step.LongRunning:
			b.finish(r, worker.Failed)
		case r.alone && now.Sub(r.started) >= b.fleet.Times.GangTimeout:
			b.finish(r, worker.GangIncomplete)
		case !r.step.LongRunning && r.done >= r.total:
			b.finish(r, worker.Done)
		}
	}
}

func (b *Boot) sortedRuns() []*run {
	all := make([]*run, 0, len(b.runs))
	for _, r := range b.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y *run) int { return strings.Compare(x.task.String(), y.task.String()) })
	return all
}

func (b *Boot) advance(r *run, from, now time.Time) {
	if r.started.After(from) {
		from = r.started
	}
	if r.resumes.After(from) {
		from = r.resumes
	}
	if now.After(from) {
		r.done += time.Duration(float64(now.Sub(from)) * b.speed(r))
	}
	if r.step.Checkpoints && b.fleet.Times.CheckpointEvery > 0 {
		r.saved = max(r.saved, r.done/b.fleet.Times.CheckpointEvery*b.fleet.Times.CheckpointEvery)
	}
}

// finish ends a run and lists the end.
func (b *Boot) finish(r *run, kind worker.EndKind) {
	if kind == worker.Stopped && r.step.Checkpoints {
		r.saved = r.done
	}
	delete(b.runs, r.task)
	b.highest[r.task] = max(b.highest[r.task], r.number)
	b.lastEnd++
	b.ends = append(b.ends, worker.End{Number: b.lastEnd, Task: r.task, Run: r.number, Kind: kind, Checkpoint: r.checkpoint()})
	b.fleet.Truth.runOver(b, r, kind)
	b.wakeLocked()
	if r.step.Gang {
		b.breakGang(r, kind)
	}
}

// breakGang ends the other members of a gang with one of them.
func (b *Boot) breakGang(r *run, kind worker.EndKind) {
	if kind != worker.Done {
		kind = worker.GangBroken
	}
	for _, other := range b.fleet.boots {
		for id, m := range other.runs {
			if m.number == r.number && id.StepName() == r.task.StepName() && !m.alone {
				other.finish(m, kind)
			}
		}
	}
}

// planLocked sets the timer for the next moment at which something happens by itself.
func (b *Boot) planLocked() {
	if b.ended || len(b.runs) == 0 {
		return
	}
	next := time.Duration(float64(b.leaseEnd-b.clock())/b.rate) + time.Millisecond
	for _, r := range b.runs {
		next = min(next, b.nextOf(r))
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(max(next, time.Millisecond), func() {
		b.fleet.mu.Lock()
		defer b.fleet.mu.Unlock()
		b.accountLocked()
		b.planLocked()
	})
}

// nextOf returns in how long a run ends by itself.
func (b *Boot) nextOf(r *run) time.Duration {
	next := time.Hour
	if !r.stopsAt.IsZero() {
		next = time.Until(r.stopsAt)
	}
	if b.behaviour.Fails {
		next = min(next, failTime-time.Since(r.started))
	}
	if r.alone {
		next = min(next, b.fleet.Times.GangTimeout-time.Since(r.started))
	}
	speed := b.speed(r)
	if speed > 0 && !r.step.LongRunning {
		next = min(next, max(0, time.Until(r.resumes))+time.Duration(float64(r.total-r.done)/speed))
	}
	return next
}
