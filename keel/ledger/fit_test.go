package ledger_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// drawProgress draws a job with its progress.
func drawProgress(t *rapid.T) (*work.Job, *work.Progress) {
	job := &work.Job{ID: jobID, Occurrences: rapid.IntRange(0, 60).Draw(t, "occurrences")}
	for range rapid.IntRange(1, 4).Draw(t, "steps") {
		job.Steps = append(job.Steps, work.Step{Count: rapid.IntRange(1, 40).Draw(t, "count")})
	}
	p := &work.Progress{Started: true, Done: make(map[int][]work.BitSet)}
	for _, id := range job.AllTasks() {
		if p.Done[id.Occurrence] == nil {
			p.Done[id.Occurrence] = make([]work.BitSet, len(job.Steps))
		}
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0, 1, 2:
			p.Done[id.Occurrence][id.Step] = p.Done[id.Occurrence][id.Step].With(id.Index)
		case 3:
			for run := range rapid.Int64Range(1, 3).Draw(t, "failed runs") {
				p.Failures = append(p.Failures, work.FailedRun{Step: id.Step, Occurrence: id.Occurrence, Index: id.Index, Run: 1000*run + 7, Instance: "i-278e96e7c9"})
			}
		case 4:
			p.Crashes = append(p.Crashes, work.CrashedRun{Step: id.Step, Occurrence: id.Occurrence, Index: id.Index, Run: 1, Worker: "w1", Sole: id.Index%2 == 0})
		}
	}
	return job, p
}

// TestFitProgress checks that a row keeps to its limit and loses no completed task, whatever is left out.
func TestFitProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job, p := drawProgress(t)
		// One bit for each task in base64, beside the names of the fields.
		least := job.Tasks()/6 + 100
		limit := rapid.IntRange(least, 20*least).Draw(t, "limit")
		row, omitted := ledger.FitProgress(job, p, limit)
		assert.Assert(t, len(row) <= limit, "%d bytes, at most %d", len(row), limit)
		var record ledger.JobRecord
		assert.NilError(t, json.Unmarshal(row, &record))
		got := record.Progress
		for n, id := range job.AllTasks() {
			assert.Equal(t, got.IsDone(id) || got.DoneTasks.Has(n), p.IsDone(id), "task %s", id)
		}
		failures := len(got.Failures)
		for _, c := range got.FailureCounts {
			failures += c.Runs
			assert.Equal(t, c.Last, int64(1000*(c.Runs-1)+7))
		}
		assert.Equal(t, failures+len(got.Crashes)+omitted, len(p.Failures)+len(p.Crashes))
		merged := got.Merge(*got)
		assert.DeepEqual(t, string(ledger.EncodeProgress(&merged)), string(row))
	})
}

// Guards against tasks that are started more often than their queue allows after a change of leader: the failed runs that are
// kept are those of the tasks that have failed most, and the crashes those that weigh most.
func TestFitProgressKeepsWhatDecides(t *testing.T) {
	job := &work.Job{ID: jobID, Steps: []work.Step{{Count: 200}}}
	p := &work.Progress{Started: true, Done: map[int][]work.BitSet{0: {work.BitSet(nil).With(3)}}}
	for i := range 200 {
		p.Failures = append(p.Failures, work.FailedRun{Index: i, Run: 1, Instance: "i-278e96e7c9"})
		p.Crashes = append(p.Crashes, work.CrashedRun{Index: i, Run: 2, Worker: "w1"})
	}
	p.Failures = append(p.Failures, work.FailedRun{Index: 3, Run: 3}, work.FailedRun{Index: 117, Run: 3}, work.FailedRun{Index: 117, Run: 4})
	p.Crashes = append(p.Crashes, work.CrashedRun{Index: 9, Run: 5, Sole: true}, work.CrashedRun{Index: 8, Run: 6, Trial: true})
	row, omitted := ledger.FitProgress(job, p, 700)
	assert.Assert(t, len(row) <= 700 && omitted > 100, "%d bytes, %d omitted", len(row), omitted)
	var record ledger.JobRecord
	assert.NilError(t, json.Unmarshal(row, &record))
	kept := 0
	for _, c := range record.Progress.FailureCounts {
		if c.Task == 117 {
			kept = c.Runs
		}
		assert.Assert(t, c.Task != 3, "the task is completed")
	}
	assert.Equal(t, kept, 3)
	assert.Assert(t, record.Progress.Crashes[0].Trial && record.Progress.Crashes[1].Sole)
}

// Guards against a gang that is started too often: several members that fail in one run count once.
func TestFitProgressCountsRunsOfGangs(t *testing.T) {
	job := &work.Job{ID: jobID, Steps: []work.Step{{Count: 50, Gang: true}}}
	p := &work.Progress{Started: true}
	for i := range 100 {
		p.Failures = append(p.Failures, work.FailedRun{Index: i % 50, Run: int64(1 + i/50), Instance: "i-278e96e7c9"})
	}
	row, omitted := ledger.FitProgress(job, p, 400)
	var record ledger.JobRecord
	assert.NilError(t, json.Unmarshal(row, &record))
	assert.Equal(t, omitted, 0)
	assert.Equal(t, len(record.Progress.Failures), 2)
	assert.Assert(t, record.Progress.Failures[0].Run != record.Progress.Failures[1].Run)
}
