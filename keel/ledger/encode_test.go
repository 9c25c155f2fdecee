package ledger_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// Guards against rows that an entry of another version can't read: the encoding must be that of encoding/json.
func TestEncodeProgressMatchesEncode(t *testing.T) {
	var full work.BitSet
	for i := range 100 {
		full = full.With(i)
	}
	tests := []work.Progress{
		{},
		{Started: true},
		{RemoteDataCentres: []string{"a", "<\"b\">"}},
		{Started: true, RemoteDataCentres: []string{"a"}, Done: map[int][]work.BitSet{0: {full, nil, work.BitSet(nil).With(9)}}},
		{Started: true, Done: map[int][]work.BitSet{17: {full}}},
		{Started: true, Done: map[int][]work.BitSet{17: {}}},
		{Started: true, Done: map[int][]work.BitSet{2: {full}, 10: {full}}},
		{Done: map[int][]work.BitSet{0: {full}}, Failures: []work.FailedRun{{Step: 1, Run: 3, Instance: "i1"}}},
		{Started: true, Crashes: []work.CrashedRun{{Step: 1, Index: 2, Run: 3, Worker: "w1", Suspect: true}}},
		{Started: true, DoneTasks: full},
		{Started: true, FailureCounts: work.FailureCounts{{Task: 3, Runs: 2, Last: 7}}},
		{Started: true, Checkpoints: map[string]string{"0.0.1": "c"}},
	}
	for _, progress := range tests {
		assert.Equal(t, string(ledger.EncodeProgress(&progress)), string(ledger.Encode(ledger.JobRecord{Progress: &progress})))
	}
}

// Guards against submissions that an entry of another version can't read, and against terms that make their rows much larger.
func TestSubmissionWithTerms(t *testing.T) {
	config := queue.NewConfig(123456, []*queue.Queue{{
		Name: "q", Pool: "puxa400", MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond,
		Policy: &queue.PolicyTiming{BaseTime: 20 * time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: 20 * time.Second},
	}}, nil, queue.Limits{})
	job := work.Job{ID: jobID, Queue: "q", Digest: 7, Steps: []work.Step{{Count: 1}}}
	without := ledger.Encode(job)
	decoded, err := ledger.DecodeSubmission(table.Row{Value: without})
	assert.NilError(t, err)
	assert.Assert(t, decoded.Job.Terms == nil)
	job.Terms = config.Terms(config.QueueByName("q"))
	with := ledger.Encode(job)
	t.Logf("%d bytes more", len(with)-len(without))
	assert.Assert(t, len(with)-len(without) < 180)
	decoded, err = ledger.DecodeSubmission(table.Row{Value: with})
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Job.Terms, job.Terms)
	// An earlier version has no field for the terms.
	var earlier struct {
		ID     string      `json:"id"`
		Steps  []work.Step `json:"steps"`
		Digest uint64      `json:"digest"`
	}
	assert.NilError(t, json.Unmarshal(with, &earlier))
	assert.DeepEqual(t, earlier.Steps, job.Steps)
	assert.Equal(t, earlier.Digest, job.Digest)
}
