package schedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const testMaxSlowdown = 4500 * time.Millisecond

// withSeparation runs the test with a scheduler that keeps tasks apart and paces best-effort tasks.
func withSeparation(t *testing.T, instances int, test func(b *testbed)) {
	withTestbed(t, func(b *testbed) {
		b.checker.MaxSlowdown = testMaxSlowdown
		for i := range instances {
			b.addInstance(fmt.Sprintf("m-%02d", i))
		}
		b.startSeparating(1)
		test(b)
	})
}

// startSeparating starts a scheduler for the epoch that keeps tasks apart.
func (b *testbed) startSeparating(epoch int64) {
	b.startFixedFleet(epoch)
	b.onLoop(func() {
		b.s.SeparateImages, b.s.Bounds.MaxSlowdownTime, b.s.Bounds.ThrottleTime = true, testMaxSlowdown, 100*time.Millisecond
		b.s.separation.init(b.s)
	})
	time.Sleep(2 * time.Second)
}

// startFixedFleet starts a scheduler for the epoch that has no spare pool, so that the pool keeps its instances.
func (b *testbed) startFixedFleet(epoch int64) {
	queues := []*queue.Queue{{Name: "p", Pool: "p", MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}}
	b.startEpochWith(epoch, queue.NewConfig(1, queues, []queue.Pool{{Name: "p"}}, queue.Limits{}))
}

// imageJob returns a job of one step whose tasks run the image.
func imageJob(id int, image string, count int, milliCores int64, takes time.Duration) *work.Job {
	job := singleStepJob(fmt.Sprintf("%016x", id), "p", count, takes)
	job.Steps[0].Image, job.Steps[0].Size.MilliCores = image, milliCores
	return job
}

// servingJob returns a long-running job whose tasks serve users.
func servingJob(count int) *work.Job {
	job := imageJob(1, "web", count, 4000, 0)
	job.Steps[0].LongRunning, job.Steps[0].LatencyTarget, job.Steps[0].MaxPerWorker = true, 100*time.Millisecond, 1
	return job
}

// fillingJob returns a job of best-effort tasks.
func fillingJob(count int) *work.Job {
	job := imageJob(2, "batch", count, 4000, time.Hour)
	job.Steps[0].BestEffort = true
	return job
}

// playPair submits short jobs of three images, one of which slows another one down, for a time. It returns the share of the
// starts of the slowed image, in the last third of that time, beside the image that slows it.
func playPair(b *testbed, duration time.Duration) float64 {
	images := []string{"slowed", "slowing", "other"}
	b.fleet.SetSlowdown("slowed", "slowing", 2)
	random := rand.New(rand.NewPCG(1, 1))
	began, beside, starts := time.Now(), 0, 0
	for n := 0; time.Since(began) < duration; n++ {
		takes := time.Duration(400+random.IntN(400)) * time.Millisecond
		b.submit(imageJob(0x1000+n, images[random.IntN(len(images))], 1+random.IntN(3), 2000, takes), takes)
		time.Sleep(40 * time.Millisecond)
		if time.Since(began) < duration*2/3 {
			continue
		}
		b.onLoop(func() {
			for _, w := range b.s.workers {
				starts += w.images["slowed"]
				if w.images["slowing"] > 0 {
					beside += w.images["slowed"]
				}
			}
		})
	}
	return float64(beside) / float64(starts)
}

// TestSeparatesPair plays a pair of images of which one slows the other one down, on a fleet with room: once the pair is
// found, few tasks run beside it. The fleet without the feature is the comparison.
func TestSeparatesPair(t *testing.T) {
	together, apart := 0.0, 0.0
	t.Run("off", func(t *testing.T) {
		withTestbed(t, func(b *testbed) {
			for i := range 8 {
				b.addInstance(fmt.Sprintf("m-%02d", i))
			}
			b.startFixedFleet(1)
			time.Sleep(2 * time.Second)
			together = playPair(b, 45*time.Second)
		})
	})
	t.Run("on", func(t *testing.T) {
		withSeparation(t, 8, func(b *testbed) {
			apart = playPair(b, 45*time.Second)
			b.onLoop(func() { assert.Check(t, b.s.separation.table.Slowdown("slowed", "slowing") > 0.3) })
		})
	})
	t.Logf("beside the other image: %.2f without the feature, %.2f with it", together, apart)
	assert.Check(t, apart < together/2)
}

// TestFullPoolHoldsNothingBack guards against tasks that wait because of a pair although a worker has room.
func TestFullPoolHoldsNothingBack(t *testing.T) {
	withSeparation(t, 1, func(b *testbed) {
		b.onLoop(func() {
			b.s.separation.conflicts = map[string][]conflict{"slowed": {{"slowing", 9}}, "slowing": {{"slowed", 9}}}
		})
		b.submit(imageJob(1, "slowing", 4, 2000, time.Second), time.Second)
		b.submit(imageJob(2, "slowed", 4, 2000, time.Second), time.Second)
		time.Sleep(300 * time.Millisecond)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				assert.Check(t, w.images["slowed"] == 4 && w.images["slowing"] == 4, "%v", w.images)
			}
		})
	})
}

// TestBestEffortGivesWay plays best-effort tasks that raise the tail latency of tasks that serve users above their target:
// they give way within the time that the deployment allows (the Checker's guarantee), and run at full speed again
// once that has ended.
func TestBestEffortGivesWay(t *testing.T) {
	withSeparation(t, 3, func(b *testbed) {
		b.submit(servingJob(3), 0)
		time.Sleep(3 * time.Second)
		b.submit(fillingJob(6), time.Hour)
		time.Sleep(2 * time.Second)
		b.fleet.SetSlowdown("web", "batch", 4)
		time.Sleep(10 * time.Second)
		assert.Check(t, len(b.speeds()) == 6 && allOf(b.speeds(), func(percent int) bool { return percent < 60 }), "%v", b.speeds())
		b.fleet.SetSlowdown("web", "batch", 1)
		time.Sleep(15 * time.Second)
		assert.Check(t, allOf(b.speeds(), func(percent int) bool { return percent == fullSpeedPercent }), "%v", b.speeds())
	})
}

// speeds returns the speed of each best-effort run, as the scheduler knows it.
func (b *testbed) speeds() []int {
	var all []int
	b.onLoop(func() {
		for _, w := range b.s.workers {
			for _, r := range w.runs {
				if r.task.step.spec.BestEffort {
					all = append(all, r.speedPercent)
				}
			}
		}
	})
	return all
}

func allOf(all []int, holds func(int) bool) bool {
	for _, v := range all {
		if !holds(v) {
			return false
		}
	}
	return true
}

// TestPaceAfterLeaderChange guards against best-effort runs that stay throttled, or aren't, because the new leader doesn't
// know their speed.
func TestPaceAfterLeaderChange(t *testing.T) {
	withSeparation(t, 3, func(b *testbed) {
		b.submit(servingJob(3), 0)
		b.submit(fillingJob(6), time.Hour)
		time.Sleep(3 * time.Second)
		b.fleet.SetSlowdown("web", "batch", 4)
		time.Sleep(5 * time.Second)
		b.onLoop(b.s.End)
		b.fleet.SetSlowdown("web", "batch", 1)
		b.startSeparating(2)
		time.Sleep(15 * time.Second)
		var known []bool
		b.onLoop(func() {
			for _, w := range b.s.workers {
				for _, r := range w.runs {
					if r.task.step.spec.BestEffort {
						known = append(known, r.paced && r.speedPercent == fullSpeedPercent)
					}
				}
			}
		})
		assert.DeepEqual(t, known, []bool{true, true, true, true, true, true})
	})
}

// TestLostThrottleOrders guards against best-effort runs that work on because the orders that throttle them have no response.
func TestLostThrottleOrders(t *testing.T) {
	withSeparation(t, 3, func(b *testbed) {
		var calls atomic.Int64
		var mu sync.Mutex
		sent := make(map[string]int)
		// Every other order to each worker is lost: of all orders together, chance could choose those of one worker.
		isLost := func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			sent[id]++
			return sent[id]%2 == 1
		}
		b.onLoop(func() {
			inner := b.s.Workers.Throttle
			b.s.Workers.Throttle = func(ctx context.Context, to worker.Target, o worker.ThrottleOrder) (worker.Reply, error) {
				calls.Add(1)
				if isLost(to.ID) {
					<-ctx.Done()
					return worker.Reply{}, fault.New(fault.EndpointFailed, "lost").WithOutcome(fault.Unknown)
				}
				return inner(ctx, to, o)
			}
		})
		b.submit(servingJob(3), 0)
		b.submit(fillingJob(6), time.Hour)
		time.Sleep(3 * time.Second)
		b.fleet.SetSlowdown("web", "batch", 8)
		time.Sleep(12 * time.Second)
		assert.Check(t, calls.Load() > 6)
	})
}

// TestPaceRecovers guards against best-effort runs that stay halted because the tail rests below its target, though not well
// below it, by the task's own load: the speed is probed in steps, and the tail is over the target for at most a tenth of the time.
func TestPaceRecovers(t *testing.T) {
	const settle = 600 * time.Millisecond
	for _, c := range []struct {
		// limit is the percentage above which the tail passes the target, least the one that has to be reached.
		limit, least int
	}{{limit: 100, least: 100}, {limit: 45, least: 40}, {limit: 5, least: 10}} {
		p := pace{reduction: fullSpeedPercent, changedAt: time.Second}
		ticks, over, highest := 0, 0, 0
		for at := time.Second; at < time.Minute; at += 100 * time.Millisecond {
			worst := 0.9
			ticks++
			if p.percent() > c.limit {
				worst = 1.1
				over++
			}
			percent := p.next(worst, at, at, testMaxSlowdown, settle)
			if percent == p.percent() {
				continue
			}
			highest = max(highest, percent)
			p.reduction, p.changedAt = fullSpeedPercent-percent, at
		}
		assert.Check(t, highest >= c.least && over*10 <= ticks, "limit %d: highest %d, over the target for %d of %d figures", c.limit, highest, over, ticks)
	}
}

// TestOldFigureChangesNothing guards against a figure of the time before a change that counts for the new speed.
func TestOldFigureChangesNothing(t *testing.T) {
	p := pace{reduction: 60, changedAt: 10 * time.Second}
	assert.Equal(t, p.next(1.5, 10100*time.Millisecond, 11*time.Second, testMaxSlowdown, 600*time.Millisecond), 40)
	assert.Equal(t, p.next(1.5, 10700*time.Millisecond, 11*time.Second, testMaxSlowdown, 600*time.Millisecond), 16)
}

// TestHaltedRunMovesAside plays best-effort tasks with checkpoints on a worker where they are halted: one at a time restarts
// on the worker that has room, and none is stopped again and again.
func TestHaltedRunMovesAside(t *testing.T) {
	withSeparation(t, 2, func(b *testbed) {
		b.submit(servingJob(1), 0)
		time.Sleep(3 * time.Second)
		b.fleet.SetSlowdown("web", "batch", 30)
		filling := fillingJob(4)
		filling.Steps[0].Checkpoints = true
		b.submit(filling, time.Hour)
		time.Sleep(25 * time.Second)
		full := 0
		for _, percent := range b.speeds() {
			if percent == fullSpeedPercent {
				full++
			}
		}
		assert.Equal(t, full, 4)
		assert.Check(t, b.starts() <= 9, "%d starts", b.starts())
	})
}

// TestMoveAsideWithoutPool guards against a worker that is only known from the roster.
func TestMoveAsideWithoutPool(t *testing.T) {
	s := &Scheduler{}
	w := &workerState{}
	r := &run{worker: w, task: &task{step: &stepState{spec: &work.Step{BestEffort: true, Checkpoints: true}}}}
	assert.Check(t, !s.mayMoveAside(r, time.Second))
}

// TestUnreportedTails guards against orders to throttle on a worker that doesn't report the tail latency of its tasks.
func TestUnreportedTails(t *testing.T) {
	s := &Scheduler{}
	s.Bounds.MaxSlowdownTime = testMaxSlowdown
	serving := &stepState{spec: &work.Step{LongRunning: true, LatencyTarget: time.Second}}
	filling := &stepState{spec: &work.Step{BestEffort: true}}
	w := &workerState{bestEffort: 1}
	w.runs = map[work.TaskID]*run{
		{Index: 1}: {worker: w, task: &task{step: serving}, confirmedAt: 1, load: -1},
		{Index: 2}: {worker: w, task: &task{step: filling}, confirmedAt: 1, speedPercent: fullSpeedPercent, load: -1},
	}
	for at := time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		s.adjustPace(w, at)
	}
	assert.Equal(t, w.pace.percent(), fullSpeedPercent)
}

// TestBestEffortPrefersHome guards against best-effort tasks that start in a remote data centre or on a wrong rack because
// the penalties of such workers count as gains.
func TestBestEffortPrefersHome(t *testing.T) {
	step := &stepState{
		spec:       &work.Step{BestEffort: true, DataRack: "r1", Size: work.Size{MilliCores: 1000}},
		occurrence: &occurrence{job: &job{Job: &work.Job{Home: "a"}}},
	}
	newWorker := func(dataCentre, rack string) *workerState {
		w := &workerState{perStep: make(map[*stepState]int)}
		w.DataCentre, w.Rack, w.Capacity = dataCentre, rack, work.Size{MilliCores: 16000}
		return w
	}
	pl := &planner{s: &Scheduler{}}
	cost := func(w *workerState) float64 { return pl.cost(step, w, w.free(), nil) }
	home := cost(newWorker("a", "r1"))
	assert.Check(t, home < cost(newWorker("b", "r1")))
	assert.Check(t, home < cost(newWorker("a", "r2")))
	used := newWorker("a", "r1")
	used.used.MilliCores = 8000
	assert.Check(t, home < cost(used))
}
