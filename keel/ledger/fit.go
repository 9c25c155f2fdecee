package ledger

import (
	"cmp"
	"slices"

	"samphirekeel.example/keel/work"
)

// DefaultRowBytes is the maximum size of a row's value if the settings don't have one.
const DefaultRowBytes = 65536

// FitProgress returns the encoding of the record of a job that hasn't ended in at most limit bytes, and the number of failed
// and crashed runs that it leaves out to that end. The completed tasks are never left out: the row is larger than the limit if
// these alone exceed it, at one bit for each task of the job.
func FitProgress(job *work.Job, p *work.Progress, limit int) (row []byte, omitted int) {
	row = EncodeProgress(p)
	if len(row) <= limit {
		return row, 0
	}
	fitted := compact(job, p)
	counts, crashes := fitted.FailureCounts, fitted.Crashes
	row = Encode(JobRecord{Progress: &fitted})
	for len(row) > limit && len(fitted.FailureCounts)+len(fitted.Crashes) > 0 {
		fitted.FailureCounts = mostFailures(counts, len(fitted.FailureCounts)*limit/len(row))
		fitted.Crashes = crashes[:len(fitted.Crashes)*limit/len(row)]
		row = Encode(JobRecord{Progress: &fitted})
	}
	return row, countRuns(counts) - countRuns(fitted.FailureCounts) + len(crashes) - len(fitted.Crashes)
}

// compact returns the same progress in the smallest form: with tasks and failed runs by number, without the instances of failed
// runs and without the failed runs of completed tasks, which no longer count. The crashed runs that weigh most against their
// tasks come first.
func compact(job *work.Job, p *work.Progress) work.Progress {
	c := *p
	c.Done, c.DoneTasks, c.Failures, c.FailureCounts = nil, nil, nil, nil
	failures := make(map[work.TaskID][]work.FailedRun)
	for _, f := range p.Failures {
		id := work.TaskID{Job: job.ID, Occurrence: f.Occurrence, Step: f.Step, Index: f.Index}
		failures[id] = append(failures[id], f)
	}
	type gangRun struct {
		occurrence, step int
		run              int64
	}
	gangRuns := make(map[gangRun]bool)
	for n, id := range job.AllTasks() {
		switch failed := failures[id]; {
		case p.IsDone(id):
			c.DoneTasks = c.DoneTasks.With(n)
		case len(failed) == 0:
		case job.Steps[id.Step].Gang:
			// A run of a gang counts once, however many of its members fail.
			for _, f := range failed {
				key := gangRun{f.Occurrence, f.Step, f.Run}
				if !gangRuns[key] {
					gangRuns[key] = true
					f.Instance = ""
					c.Failures = append(c.Failures, f)
				}
			}
		default:
			last := slices.MaxFunc(failed, func(a, b work.FailedRun) int { return cmp.Compare(a.Run, b.Run) })
			c.FailureCounts = append(c.FailureCounts, work.FailureCount{Task: n, Runs: len(failed), Last: last.Run})
		}
	}
	c.Crashes = slices.Clone(p.Crashes)
	slices.SortStableFunc(c.Crashes, func(a, b work.CrashedRun) int { return cmp.Compare(crashWeight(b), crashWeight(a)) })
	return c
}

// crashWeight returns how much a crashed run weighs against its task.
func crashWeight(c work.CrashedRun) int {
	switch {
	case c.Trial:
		return 4
	case c.Sole:
		return 3
	case c.Likely:
		return 2
	case c.Suspect:
		return 1
	}
	return 0
}

// mostFailures returns the counts of the n tasks with most failed runs, which decide first whether the job fails.
func mostFailures(counts work.FailureCounts, n int) work.FailureCounts {
	most := slices.Clone(counts)
	slices.SortStableFunc(most, func(a, b work.FailureCount) int { return cmp.Compare(b.Runs, a.Runs) })
	most = most[:n]
	slices.SortFunc(most, func(a, b work.FailureCount) int { return cmp.Compare(a.Task, b.Task) })
	return most
}

func countRuns(counts work.FailureCounts) int {
	n := 0
	for _, c := range counts {
		n += c.Runs
	}
	return n
}
