package schedule

import "samphirekeel.example/keel/work"

// restore applies the progress that earlier leaders stored.
func (s *Scheduler) restore(j *job, p *work.Progress) {
	j.begun = p.Started
	for _, dataCentre := range p.RemoteDataCentres {
		j.allowDataCentre(dataCentre, 0)
	}
	for k, steps := range p.Done {
		for i, bits := range steps {
			if k >= len(j.occurrences) || i >= len(j.Steps) {
				continue
			}
			for index := range j.Steps[i].Count {
				if bits.Has(index) {
					s.markTaskDone(s.task(j, work.TaskID{Job: j.ID, Occurrence: k, Step: i, Index: index}))
				}
			}
		}
	}
	s.restoreDoneTasks(j, p.DoneTasks)
	for _, failed := range p.Failures {
		t := s.task(j, work.TaskID{Job: j.ID, Occurrence: failed.Occurrence, Step: failed.Step, Index: failed.Index})
		// Rows of earlier versions list failures of long-running tasks.
		if t != nil && !t.step.spec.LongRunning {
			s.recordFailure(t, failed)
		}
	}
	s.restoreFailureCounts(j, p.FailureCounts)
	s.restoreCrashes(j, p.Crashes)
	for name, checkpoint := range p.Checkpoints {
		id, ok := work.ParseTaskID(j.ID + "." + name)
		t := s.task(j, id)
		if ok && t != nil {
			t.setCheckpoint(checkpoint)
		}
	}
	s.checkJobDone(j)
	s.checkAttempts(j)
}

func (s *Scheduler) restoreDoneTasks(j *job, done work.BitSet) {
	if len(done) == 0 {
		return
	}
	for n, id := range j.AllTasks() {
		if done.Has(n) {
			s.markTaskDone(s.task(j, id))
		}
	}
}

// restoreFailureCounts records the failed runs whose numbers aren't stored, but for the last of each task. An end with a number
// up to that one may be listed again and is known.
func (s *Scheduler) restoreFailureCounts(j *job, counts work.FailureCounts) {
	if len(counts) == 0 {
		return
	}
	for n, id := range j.AllTasks() {
		if len(counts) == 0 || counts[0].Task != n {
			continue
		}
		t, count := s.task(j, id), counts[0]
		counts = counts[1:]
		for run := count.Last; t.failures < count.Runs; run-- {
			s.recordFailure(t, work.FailedRun{Step: id.Step, Occurrence: id.Occurrence, Index: id.Index, Run: run})
		}
		t.failuresKnownTo = count.Last
	}
}
