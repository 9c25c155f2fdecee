package main

import "time"

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
	b.history[r.task] = append(others, &taskNote{worker: w.id, run: r.run, token: token, began: r.began})
	b.mu.Unlock()
	for _, o := range others {
		switch {
		case o.how == "":
			b.breaks("TWICE: %s runs on %s (run %d) and starts on %s (run %d)", r.task, o.worker, o.run, w.id, r.run)
		case o.how == "done" && !o.seen.IsZero():
			b.breaks("TWICE: %s had ended done on %s (run %d), taken note of, and starts on %s (run %d)", r.task, o.worker, o.run, w.id, r.run)
		}
	}
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
	if n != nil && w.lapsedAt.After(n.ended) {
		// The lease has lapsed between the end and its being taken note of, so that it doesn't count.
		n.how = "done, but lapsed"
	}
	if n != nil {
		n.seen = time.Now()
		for _, o := range b.history[task] {
			if n.how == "done" && o != n && o.began.After(n.ended) {
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
