package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Truth knows every job and checks the promises; what breaks one is listed in Broken.
type Truth struct {
	// CancelTime is the time after a cancel's answer from which nothing of the job starts.
	CancelTime time.Duration
	// Notice is how long an absence of a lasting task counts against its disruption budget.
	Notice time.Duration

	mu     sync.Mutex
	fleet  *Fleet
	jobs   map[string]*truthJob
	waves  map[int64]*truthWave
	broken []string
}

// truthJob is what is known of one job.
type truthJob struct {
	job *work.Job
	// took holds how long the tasks of each step really take.
	took [][]time.Duration
	// poisoned reports that the job's tasks fail wherever they run.
	poisoned  bool
	sent      time.Time
	accepted  bool
	cancelled time.Time
	completed time.Time
	failed    bool
	tasks     map[work.TaskID]*truthTask
}

// truthTask is what is known of one task.
type truthTask struct {
	live  map[*run]*Boot
	done  bool
	noted time.Time
	// failures counts the failed runs that were taken note of.
	failures int
	// ends holds the ends that weren't taken note of yet.
	ends []truthEnd
	// away is since when a lasting task isn't at work, disrupted whether by an order.
	away      time.Time
	disrupted bool
}

type truthEnd struct {
	boot   *Boot
	number int64
	kind   worker.EndKind
}

// truthWave is a wave of maintenance.
type truthWave struct {
	provider.Wave
	begun, down map[string]bool
}

// NewTruth returns a truth that knows no jobs.
func NewTruth() *Truth {
	return &Truth{jobs: make(map[string]*truthJob), waves: make(map[int64]*truthWave)}
}

// Broken returns what broke a promise, in order.
func (t *Truth) Broken() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.broken)
}

func (t *Truth) breakLocked(format string, args ...any) {
	t.broken = append(t.broken, fmt.Sprintf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...)))
}

// Sent notes a job that a caller hands in, with how long the tasks of each step take.
func (t *Truth) Sent(job *work.Job, took [][]time.Duration, poisoned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[job.ID] = &truthJob{job: job, took: took, poisoned: poisoned, sent: time.Now(), tasks: make(map[work.TaskID]*truthTask)}
}

// Accepted notes that a job was taken in.
func (t *Truth) Accepted(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[id].accepted = true
}

// Cancelled notes that a cancel was answered.
func (t *Truth) Cancelled(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs[id].cancelled.IsZero() {
		t.jobs[id].cancelled = time.Now()
	}
}

// Shown checks a state that a caller was shown; known is false for an answer that there is no such job.
func (t *Truth) Shown(id string, state work.State, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	switch {
	case !known:
		if j.accepted && j.cancelled.IsZero() {
			t.breakLocked("accepted job %s is not known", id)
		}
	case state == work.Completed:
		if !j.allDone() {
			t.breakLocked("job %s is shown as completed, and some task is not done", id)
		}
		if j.completed.IsZero() {
			j.completed = time.Now()
		}
	case state == work.Failed:
		j.failed = true
		if !j.poisoned && !j.exhausted() {
			t.breakLocked("job %s is shown as failed without cause", id)
		}
	case state == work.Cancelled:
		if j.cancelled.IsZero() {
			t.breakLocked("job %s is shown as cancelled without cause", id)
		}
	}
}

func (j *truthJob) allDone() bool {
	for k := range j.job.OccurrenceCount() {
		for i, step := range j.job.Steps {
			for n := range step.Count {
				t := j.tasks[work.TaskID{Job: j.job.ID, Occurrence: k, Step: i, Index: n}]
				if t == nil || !t.done {
					return false
				}
			}
		}
	}
	return true
}

func (j *truthJob) exhausted() bool {
	for _, t := range j.tasks {
		if t.failures > 0 {
			return true
		}
	}
	return false
}

func (j *truthJob) task(id work.TaskID) *truthTask {
	t := j.tasks[id]
	if t == nil {
		t = &truthTask{live: make(map[*run]*Boot)}
		j.tasks[id] = t
	}
	return t
}

func (t *Truth) poisoned(id work.TaskID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id.Job]
	return j != nil && j.poisoned
}

// started checks a start and returns the task's step with how long it takes, nil for a task that can't be.
func (t *Truth) started(b *Boot, o worker.StartOrder) (*work.Step, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[o.Task.Job]
	if j == nil || o.Task.Step >= len(j.job.Steps) || o.Task.Index >= j.job.Steps[o.Task.Step].Count {
		t.breakLocked("worker %s is told to start %s, which nobody sent", b.id, o.Task)
		return nil, 0
	}
	step := &j.job.Steps[o.Task.Step]
	task := j.task(o.Task)
	t.checkStart(b, j, task, step, o)
	task.live[&run{task: o.Task, number: o.Run}] = b
	return step, t.timeOf(b, j, step, o.Task)
}

func (t *Truth) timeOf(b *Boot, j *truthJob, step *work.Step, id work.TaskID) time.Duration {
	if step.LongRunning {
		return t.fleet.Times.Startup
	}
	took := j.took[id.Step][id.Index]
	if step.DataRack != "" && step.DataRack != b.machine.rack {
		took = time.Duration(float64(took) * t.fleet.Times.RemoteFactor)
	}
	return took
}

// AddWave notes a wave of maintenance.
func (t *Truth) AddWave(w provider.Wave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waves[w.Number] = &truthWave{Wave: w, begun: make(map[string]bool), down: make(map[string]bool)}
}

// maintained checks the number of instances that are down for a wave.
func (t *Truth) maintained(w *truthWave, m *machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(w.down) >= w.MaxConcurrent {
		t.breakLocked("%s goes down for wave %d beside %d others, %d are allowed", m.id, w.Number, len(w.down), w.MaxConcurrent)
	}
	w.begun[m.id] = true
}

// WaveDone returns how many instances of a wave have had their maintenance, and how many there are.
func (t *Truth) WaveDone(number int64) (int, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waves[number]
	return len(w.begun), len(w.Instances)
}

// Summary counts jobs by what became of them, without those that last until they are cancelled.
type Summary struct {
	Sent, Accepted, Completed, Failed, Cancelled, Open int
}

// Summary returns how many jobs there are of each kind.
func (t *Truth) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s Summary
	for _, j := range t.jobs {
		if j.job.LongRunning() {
			continue
		}
		s.Sent++
		switch {
		case !j.accepted:
			continue
		case !j.completed.IsZero():
			s.Completed++
		case j.failed:
			s.Failed++
		case !j.cancelled.IsZero():
			s.Cancelled++
		default:
			s.Open++
		}
		s.Accepted++
	}
	return s
}

// LastingAtWork returns how many lasting tasks of jobs that aren't cancelled are at work, and how many there are.
func (t *Truth) LastingAtWork() (int, int) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	at, all := 0, 0
	for _, j := range t.jobs {
		if !j.accepted || !j.cancelled.IsZero() {
			continue
		}
		for i, step := range j.job.Steps {
			for n := range step.Count {
				if !step.LongRunning {
					continue
				}
				all++
				for live, b := range j.task(work.TaskID{Job: j.job.ID, Step: i, Index: n}).live {
					r := b.runs[live.task]
					if !b.ended && r != nil && r.number == live.number {
						at++
						break
					}
				}
			}
		}
	}
	return at, all
}
