package emulator

import (
	"slices"
	"time"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

func (t *Truth) checkStart(b *Boot, j *truthJob, task *truthTask, step *work.Step, o worker.StartOrder) {
	now := time.Now()
	if !step.Speculative {
		for _, other := range task.live {
			if !other.ended {
				t.breakLocked("%s run %d starts on %s while %s has a run of it", o.Task, o.Run, b.id, other.id)
			}
		}
	}
	noted := !task.noted.IsZero()
	if noted && (!step.Speculative || now.Sub(task.noted) > time.Second) {
		t.breakLocked("%s run %d starts on %s after its end was taken note of", o.Task, o.Run, b.id)
	}
	for _, earlier := range step.After {
		for n := range j.job.Steps[earlier].Count {
			before := j.tasks[work.TaskID{Job: j.job.ID, Occurrence: o.Task.Occurrence, Step: earlier, Index: n}]
			if before == nil || !before.done {
				t.breakLocked("%s starts before step %d is done", o.Task, earlier)
			}
		}
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > t.CancelTime {
		t.breakLocked("%s starts %s after its job was cancelled", o.Task, now.Sub(j.cancelled))
	}
	if step.Label != "" && !slices.Contains([]string{b.machine.rack}, step.Label) {
		t.breakLocked("%s starts on %s, which lacks label %s", o.Task, b.id, step.Label)
	}
	t.checkRoom(b, step, o)
}

// checkRoom checks that what runs on a worker fits.
func (t *Truth) checkRoom(b *Boot, step *work.Step, o worker.StartOrder) {
	used := sizeOf(step)
	same := 1
	for _, r := range b.runs {
		used = used.Plus(sizeOf(r.step))
		if r.task.StepName() == o.Task.StepName() {
			same++
		}
	}
	if !b.machine.room.Holds(used) {
		t.breakLocked("%s brings worker %s over its room: %+v", o.Task, b.id, used)
	}
	if step.MaxPerWorker > 0 && same > step.MaxPerWorker {
		t.breakLocked("%s is one of %d tasks of its step on worker %s, %d are allowed", o.Task, same, b.id, step.MaxPerWorker)
	}
}

func sizeOf(step *work.Step) work.Size {
	size := step.Size
	if step.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// runOver notes the end of a run; kind is empty where the worker ended with it.
func (t *Truth) runOver(b *Boot, r *run, kind worker.EndKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[r.task.Job]
	if j == nil {
		return
	}
	task := j.task(r.task)
	for live, boot := range task.live {
		if boot == b && live.number == r.number {
			delete(task.live, live)
		}
	}
	if r.step.LongRunning {
		task.away = time.Now()
	}
	if kind == "" {
		return
	}
	if kind == worker.Done {
		task.done = true
		if r.step.Gang {
			for n := range r.step.Count {
				id := r.task
				id.Index = n
				j.task(id).done = true
			}
		}
	}
	task.ends = append(task.ends, truthEnd{boot: b, number: b.lastEnd, kind: kind})
}

// acknowledged notes that the ends of a worker up to a number were taken note of.
func (t *Truth) acknowledged(b *Boot, number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range b.ends {
		if e.Number > number {
			continue
		}
		j := t.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		task := j.task(e.Task)
		switch e.Kind {
		case worker.Done:
			if task.noted.IsZero() {
				task.noted = time.Now()
			}
		case worker.Failed:
			task.failures++
		}
	}
}

// stopOrdered checks an order to stop a lasting task that is at work.
func (t *Truth) stopOrdered(b *Boot, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disrupt(b, r)
}

// orderedAway checks an order that ends everything on an instance.
func (t *Truth) orderedAway(m *machine) {
	if m.boot == nil {
		return
	}
	m.boot.accountLocked()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range m.boot.sortedRuns() {
		t.disrupt(m.boot, r)
	}
}

// disrupt checks the disruption budget of a lasting task's step as one of its tasks at work is ended by an order.
func (t *Truth) disrupt(b *Boot, r *run) {
	j := t.jobs[r.task.Job]
	if j == nil || !r.step.LongRunning || !r.step.HasDisruptionBudget || r.done < r.total || b.draining || !j.cancelled.IsZero() {
		return
	}
	away := 0
	for n := range r.step.Count {
		id := r.task
		id.Index = n
		other := j.task(id)
		if n != r.task.Index && t.isAway(other) {
			away++
		}
	}
	if away >= r.step.DisruptionBudget {
		t.breakLocked("%s is ended by an order while %d others of its step are away, %d are allowed", r.task, away, r.step.DisruptionBudget)
	}
	j.task(r.task).disrupted = true
}

// isAway reports whether a lasting task counts as away: ended by an order, or not at work for the notice time.
func (t *Truth) isAway(task *truthTask) bool {
	for live, b := range task.live {
		r := b.runs[live.task]
		if r != nil && r.done >= r.total {
			task.disrupted = false
			return false
		}
	}
	return task.disrupted || !task.away.IsZero() && time.Since(task.away) > t.Notice
}
