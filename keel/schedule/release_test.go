package schedule

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

const (
	// endedJobs is the number of jobs that end, each of a spec of largeSpec bytes and 500 tasks.
	endedJobs = 400
	largeSpec = 20_000
	// maxEndedBytes is the memory that an ended job may take, its rows in the emulated store included.
	maxEndedBytes = 3000
)

// largeJob returns a job whose tasks and spec take much memory.
func largeJob(n int) *work.Job {
	job := singleStepJob(fmt.Sprintf("%016x", n), "p", 500, time.Second)
	job.Spec, job.Accepted = strings.Repeat("x", largeSpec), time.Now().UnixMilli()
	return job
}

// heapInUse returns the memory of all reachable objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a leader whose memory grows with the size of the jobs that have ended: their tasks, specs and terms stay until
// a stub has replaced each submission, and for good if the leader has inherited the outcome.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	tests := []struct {
		name string
		// end makes the scheduler know an ended job.
		end func(s *Scheduler, job *work.Job)
	}{
		{"ended in this epoch", func(s *Scheduler, job *work.Job) {
			s.AddJob(job, backlogVersion)
			s.Cancel(job.ID, func() {})
		}},
		{"ended in an earlier epoch", func(s *Scheduler, job *work.Job) {
			outcome := &work.Outcome{State: work.Cancelled, Queue: job.Queue}
			s.addSubmission(ledger.Submission{Job: job, Version: 1}, ledger.JobRecord{Outcome: outcome}, "ledger")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.startEpoch(1, "p")
				time.Sleep(time.Second)
				before := heapInUse()
				for n := range endedJobs {
					b.onLoop(func() { test.end(b.s, largeJob(n+1)) })
				}
				// The next stubs are written later.
				time.Sleep(200 * time.Millisecond)
				perJob := (heapInUse() - before) / endedJobs
				t.Logf("%d bytes for each ended job", perJob)
				assert.Check(t, perJob <= maxEndedBytes)
				assert.Equal(t, b.countJobs(work.Cancelled), endedJobs)
			})
		})
	}
}
