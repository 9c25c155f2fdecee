package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// noteStart is called by a worker, which holds its lock, for each run that begins.
func (b *bed) noteStart(w *worker, r *taskRun, token int64) {
	cpu, mem := w.used()
	b.record("start %s run %d on %s, token %d", r.task, r.run, w.id, token)
	if cpu > w.cpu || mem > w.mem {
		b.breaks("LIMIT: start of %s brings %s to %d milli-cores and %d MB", r.task, w.id, cpu, mem)
	}
	b.mu.Lock()
	job := jobOf(r.task)
	b.starts = append(b.starts, startNote{job: job, at: time.Now()})
	others := b.history[r.task]
	b.history[r.task] = append(others, &taskNote{worker: w.id, run: r.run, token: token, began: r.began, copies: r.spec.Copies, gang: r.spec.Gang})
	b.mu.Unlock()
	b.checkStart(w, r)
	failed := 0
	for _, o := range others {
		if o.how == "failed" && !o.seen.IsZero() && !r.spec.Copies && !r.spec.Lasts {
			failed++
		}
	}
	if failed >= maxAttempts {
		b.breaks("BUDGET: %s starts on %s (run %d) after %d runs have ended failed", r.task, w.id, r.run, failed)
	}
	for _, o := range others {
		switch {
		case r.spec.Copies:
		case o.how == "":
			b.breaks("TWICE: %s runs on %s (run %d) and starts on %s (run %d)", r.task, o.worker, o.run, w.id, r.run)
		case o.how == "done" && !o.seen.IsZero():
			b.breaks("TWICE: %s had ended done on %s (run %d), taken note of, and starts on %s (run %d)", r.task, o.worker, o.run, w.id, r.run)
		}
	}
}

// mayFail reports whether the job may be given up: a task, or a gang, has failed maxAttempts times, or has crashed two workers.
func (b *bed) mayFail(job string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed, crashed := make(map[string]int), make(map[string]int)
	for task, notes := range b.history {
		if jobOf(task) != job {
			continue
		}
		for _, n := range notes {
			name := task
			if n.gang {
				name = task[:strings.LastIndex(task, ".")]
			}
			switch n.how {
			case "failed":
				failed[name]++
			case "crashed":
				crashed[name]++
			}
			if failed[name] >= maxAttempts || crashed[name] >= 2 {
				return true
			}
		}
	}
	return false
}

func (b *bed) note(task string, worker string, run int64) *taskNote {
	for _, n := range b.history[task] {
		if n.worker == worker && n.run == run {
			return n
		}
	}
	return nil
}

// noteEnd is called by a worker for each run that ends.
func (b *bed) noteEnd(w *worker, r *taskRun, how string) {
	b.record("end %s run %d on %s: %s", r.task, r.run, w.id, how)
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.note(r.task, w.id, r.run)
	if n != nil {
		n.ended, n.how = time.Now(), how
	}
}

// noteSeen is called by a worker for each end that is taken note of.
func (b *bed) noteSeen(w *worker, end []any) {
	b.mu.Lock()
	task := end[1].(string)
	n := b.note(task, w.id, end[2].(int64))
	var later *taskNote
	lapsed := n != nil && w.lapsedAt.After(n.ended)
	if lapsed && n.how == "done" {
		// The lease has lapsed between the end and its being taken note of, so that it doesn't count.
		n.how = "done, but lapsed"
	}
	if n != nil {
		if !lapsed || n.how != "failed" {
			n.seen = time.Now()
		}
		for _, o := range b.history[task] {
			if n.how == "done" && !n.copies && o != n && o.began.After(n.ended) {
				later = o
			}
		}
	}
	b.mu.Unlock()
	if later != nil {
		b.breaks("TWICE: %s had ended done on %s, which is taken note of now, and has started on %s since", task, w.id, later.worker)
	}
}

func (b *bed) noteUpkeep(machine string, wave int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upkeeps[wave] = append(b.upkeeps[wave], machine)
}

// started returns the jobs of which a task has begun.
func (b *bed) started() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]bool)
	for _, s := range b.starts {
		all[s.job] = true
	}
	return all
}

// checkStart checks the order of steps, the time of an occurrence and the label.
func (b *bed) checkStart(w *worker, r *taskRun) {
	step := stepOf(r.task)
	if r.spec.Label != "" && r.spec.Label != w.rack && r.spec.Label != "a" {
		b.breaks("ROUTE: %s starts on %s without the label %s", r.task, w.id, r.spec.Label)
	}
	parts := strings.Split(r.task, ".")
	k, _ := strconv.ParseInt(parts[1], 10, 64)
	if r.spec.FirstMs != 0 && time.Now().UnixMilli() < r.spec.FirstMs+k*r.spec.IntervalMs-250 {
		b.breaks("ORDER: %s starts before its time", r.task)
	}
	if step == 0 || r.spec.Count == 0 {
		return
	}
	b.mu.Lock()
	done := make(map[string]bool)
	prefix := fmt.Sprintf("%s.%s.%d.", parts[0], parts[1], step-1)
	for task, notes := range b.history {
		for _, n := range notes {
			if strings.HasPrefix(task, prefix) && strings.HasPrefix(n.how, "done") {
				done[task] = true
			}
		}
	}
	before := b.counts[fmt.Sprintf("%s.%d", parts[0], step-1)]
	b.mu.Unlock()
	if len(done) < before {
		b.breaks("ORDER: %s starts, but only %d of %d tasks of the step before have ended done", r.task, len(done), before)
	}
}
