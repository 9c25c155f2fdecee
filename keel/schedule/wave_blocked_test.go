package schedule

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
)

// waveCase is a case of testdata/waves/cases.json: waves for some of the instances of two racks, on which long-running jobs run.
// Small jobs arrive meanwhile.
type waveCase struct {
	Description string `json:"why"`
	Name        string `json:"name"`
	// RackSize is the number of instances in a rack, 0 for waveCaseRack.
	RackSize    int           `json:"rack_size"`
	LongRunning []waveCaseJob `json:"long_running"`
	// Tasks holds jobs like long-running ones whose tasks end.
	Tasks []waveCaseTasks `json:"tasks"`
	Waves []waveCaseWave  `json:"waves"`
	// Delay is the time from the beginning of the events and of the small jobs to that of the waves.
	Delay  duration    `json:"delay"`
	Events []waveEvent `json:"events"`
	// Small is the size of the small jobs, and MaxWait the longest time that one may wait for its start; they replace smallJob and
	// waveCaseMaxWait.
	Small   *waveSmallJob `json:"small"`
	MaxWait duration      `json:"max_wait"`
	// Maintained holds the number of instances of each wave that are maintained in the end; with InTime, they are at its deadline.
	Maintained []int `json:"maintained"`
	InTime     bool  `json:"in_time"`
}

// waveCaseJob is a long-running job of one step.
type waveCaseJob struct {
	Tasks     int    `json:"tasks"`
	PerWorker int    `json:"per_worker"`
	Rack      string `json:"rack"`
	// Budget is nil for a job without disruption budget.
	Budget *int `json:"budget"`
	// MilliCores is the size of a task, 0 for 1,000.
	MilliCores int64 `json:"milli_cores"`
}

// waveCaseTasks is a series of jobs of one step, submitted from the beginning on, by default a single one.
type waveCaseTasks struct {
	waveCaseJob
	Takes duration `json:"takes"`
	// Estimate is the caller's estimate, 0 for the real duration.
	Estimate duration `json:"estimate"`
	Jobs     int      `json:"jobs"`
	Every    duration `json:"every"`
}

// waveCaseWave is a wave for all instances of some racks.
type waveCaseWave struct {
	Racks   []string `json:"racks"`
	Seconds float64  `json:"seconds"`
	AtOnce  int      `json:"at_once"`
}

// waveSmallJob is the size of a small job, whose tasks take 800 ms.
type waveSmallJob struct {
	Tasks      int   `json:"tasks"`
	MilliCores int64 `json:"milli_cores"`
}

var smallJob = waveSmallJob{Tasks: 1, MilliCores: 4000}

// waveEvent is what happens at some time.
type waveEvent struct {
	At       duration `json:"at"`
	Do       string   `json:"do"`
	Job      int      `json:"job"`
	Instance string   `json:"instance"`
	For      duration `json:"for"`
}

const (
	waveCaseRack = 4
	// waveCaseTraffic is how long small jobs arrive, one each waveCaseInterval.
	waveCaseTraffic  = 33 * time.Second
	waveCaseInterval = 500 * time.Millisecond
	// waveCaseMaxWait is the longest time that a small job may wait for its start although most of the pool is free.
	waveCaseMaxWait = 3 * time.Second
)

// Guards against jobs that are never started because a wave keeps all tasks off instances that can't be freed for their
// maintenance, and against such instances keeping others from their maintenance.
func TestWavesThatCantBeDone(t *testing.T) {
	for _, c := range readCases[waveCase](t, "testdata/waves/cases.json") {
		t.Run(c.Name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) { b.playWaveCase(c) })
		})
	}
}

func (b *testbed) playWaveCase(c waveCase) {
	for _, rack := range []string{"r0", "r1"} {
		for i := range cmp.Or(c.RackSize, waveCaseRack) {
			b.fleet.Add(fmt.Sprintf("%s-%d", rack, i), "p", "a", rack, work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
	}
	b.startEpoch(1, "p")
	time.Sleep(500 * time.Millisecond)
	for i, j := range c.LongRunning {
		b.submit(j.job(i), 0)
	}
	for i, tasks := range c.Tasks {
		go b.submitSeries(i, tasks)
	}
	time.Sleep(3 * time.Second)
	waves := b.newWaves(c.Waves)
	time.AfterFunc(time.Duration(c.Delay), func() { b.onLoop(func() { b.s.SetWaves(waves) }) })
	for _, e := range c.Events {
		time.AfterFunc(time.Duration(e.At), func() { b.applyWaveEvent(e, waves) })
	}
	for i, w := range c.Waves {
		if c.InTime {
			deadline := time.Duration(c.Delay) + time.Duration(w.Seconds*float64(time.Second))
			time.AfterFunc(deadline, func() { b.checkMaintained(int64(i+1), c.Maintained[i]) })
		}
	}
	small := smallJob
	if c.Small != nil {
		small = *c.Small
	}
	longest := b.longestSmallJobWait(small)
	b.t.Logf("longest wait of a small job: %s", longest)
	assert.Check(b.t, longest <= cmp.Or(time.Duration(c.MaxWait), waveCaseMaxWait), "a small job waited for %s", longest)
	time.Sleep(30 * time.Second)
	for i, wanted := range c.Maintained {
		b.checkMaintained(int64(i+1), wanted)
	}
}

func (b *testbed) checkMaintained(wave int64, wanted int) {
	done, _ := b.checker.WaveProgress(wave)
	assert.Check(b.t, done == wanted, "%d of %d instances of wave %d are maintained", done, wanted, wave)
}

func longRunningID(i int) string { return fmt.Sprintf("%016x", 0xa1+i) }

func (j waveCaseJob) job(i int) *work.Job {
	job := singleStepJob(longRunningID(i), "p", j.Tasks, 0)
	step := &job.Steps[0]
	step.LongRunning, step.MaxPerWorker, step.Label = true, j.PerWorker, j.Rack
	if j.Budget != nil {
		step.HasDisruptionBudget, step.DisruptionBudget = true, *j.Budget
	}
	if j.MilliCores > 0 {
		step.Size.MilliCores = j.MilliCores
	}
	return job
}

// submitSeries submits the jobs of the series with the number.
func (b *testbed) submitSeries(number int, series waveCaseTasks) {
	for n := range max(1, series.Jobs) {
		job := series.job(0)
		job.ID = fmt.Sprintf("%016x", 0xc000+0x100*number+n)
		job.Steps[0].LongRunning = false
		job.Steps[0].Estimate = time.Duration(cmp.Or(series.Estimate, series.Takes))
		b.submit(job, time.Duration(series.Takes))
		time.Sleep(time.Duration(series.Every))
	}
}

// newWaves returns the waves, numbered from 1 on.
func (b *testbed) newWaves(cases []waveCaseWave) []provider.Wave {
	var waves []provider.Wave
	for i, c := range cases {
		wave := provider.Wave{Number: int64(i + 1), DeadlineSeconds: c.Seconds, MaxConcurrent: c.AtOnce}
		for _, rack := range c.Racks {
			wave.Instances = append(wave.Instances, b.fleet.InRack(rack)...)
		}
		b.checker.AddWave(wave)
		waves = append(waves, wave)
	}
	return waves
}

func (b *testbed) applyWaveEvent(e waveEvent, waves []provider.Wave) {
	switch e.Do {
	case "cancel":
		b.checker.CancelRequested(longRunningID(e.Job))
		b.onLoop(func() { b.s.Cancel(longRunningID(e.Job), func() { b.checker.Cancelled(longRunningID(e.Job)) }) })
	case "crash":
		b.fleet.Crash(e.Instance, time.Duration(e.For))
	case "disconnect":
		b.fleet.SetUnreachable(true, e.Instance)
		time.AfterFunc(time.Duration(e.For), func() { b.fleet.SetUnreachable(false, e.Instance) })
	case "lose":
		b.fleet.Crash(e.Instance, time.Hour)
	case "take_over":
		b.onLoop(b.s.End)
		b.startEpoch(2, "p")
		b.onLoop(func() { b.s.SetWaves(waves) })
	default:
		b.t.Errorf("unknown event %q", e.Do)
	}
}

// longestSmallJobWait submits small jobs for waveCaseTraffic, waits until they should have ended, and returns the longest time for
// which one was shown as queued.
func (b *testbed) longestSmallJobWait(small waveSmallJob) time.Duration {
	queued := make(map[string]time.Time)
	var longest time.Duration
	poll := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			b.onLoop(func() {
				for id, since := range queued {
					longest = max(longest, time.Since(since))
					state, known := b.s.State(id)
					if known && state != work.Queued {
						delete(queued, id)
					}
				}
			})
		}
	}
	for n := range int(waveCaseTraffic / waveCaseInterval) {
		job := singleStepJob(fmt.Sprintf("%016x", 0xb000+n), "p", small.Tasks, 800*time.Millisecond)
		job.Steps[0].Size.MilliCores = small.MilliCores
		b.submit(job, 800*time.Millisecond)
		queued[job.ID] = time.Now()
		poll(waveCaseInterval)
	}
	poll(17 * time.Second)
	return longest
}
