package schedule

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against a backlog whose start orders mostly time out: the path to the workers takes 1 ms for each order, and the
// free workers could start the whole backlog at once. Each order in doubt is followed by one to stop its run, so that
// most tasks waited for good.
func TestBacklogOnSlowPath(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 60 {
			b.addInstance("m" + strconv.Itoa(i))
		}
		b.slowPath(time.Millisecond)
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		began := time.Now()
		b.submitMany(200, 12, 100*time.Millisecond)
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		// The path carries the starts of all 2,400 tasks in 2.4 s.
		assert.Equal(t, b.countJobs(work.Completed), 200)
	})
}

// Guards against stops that all time out and are sent again for good: the path to the workers takes 3 ms for each order,
// so that it carries only a part of 300 stops before their timeout.
func TestManyStopsOnSlowPath(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 60 {
			b.addInstance("m" + strconv.Itoa(i))
		}
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.submitMany(50, 6, time.Minute)
		time.Sleep(time.Second)
		b.slowPath(3 * time.Millisecond)
		b.onLoop(func() {
			for id := range b.s.jobs {
				b.checker.Cancelled(id)
				b.s.Cancel(id, func() {})
			}
		})
		time.Sleep(2500 * time.Millisecond)
		running := 0
		b.onLoop(func() {
			for _, w := range b.s.workers {
				running += len(w.runs)
			}
		})
		// The path carries the 300 stops in 0.9 s.
		assert.Equal(t, running, 0)
	})
}

// submitMany submits jobs with the given number of tasks of one core at the same time.
func (b *testbed) submitMany(jobs, tasks int, taskDuration time.Duration) {
	var submitted sync.WaitGroup
	for i := range jobs {
		submitted.Go(func() {
			b.submit(singleStepJob(fmt.Sprintf("%016x", i+1), "p", tasks, taskDuration), taskDuration)
		})
	}
	submitted.Wait()
}

// countJobs returns the number of jobs in the state.
func (b *testbed) countJobs(state work.State) int {
	n := 0
	b.onLoop(func() {
		for _, j := range b.s.jobs {
			if j.state() == state {
				n++
			}
		}
	})
	return n
}

// slowPath makes starts and stops pass one after another, each in the given time. An order that times out still passes.
func (b *testbed) slowPath(timePerOrder time.Duration) {
	var mu sync.Mutex
	var freeAt time.Time
	pass := func(ctx context.Context) error {
		mu.Lock()
		if freeAt.Before(time.Now()) {
			freeAt = time.Now()
		}
		freeAt = freeAt.Add(timePerOrder)
		wait := time.Until(freeAt)
		mu.Unlock()
		select {
		case <-time.After(wait):
			return nil
		case <-ctx.Done():
			return fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		}
	}
	inner := b.fleet.WorkerClient("leader")
	b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		err := pass(ctx)
		if err != nil {
			return worker.Reply{}, err
		}
		return inner.Start(ctx, to, o)
	})
	b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
		err := pass(ctx)
		if err != nil {
			return worker.Reply{}, err
		}
		return inner.Stop(ctx, to, o)
	})
}

// windowPath is a path to the workers on which a window keeps as many orders in flight as it permits. Orders pass one after
// another.
type windowPath struct {
	// fixed is how long each reply takes, perOrder the time in which an order passes.
	fixed, perOrder time.Duration
}

// adjust lets the window work on the path for a number of adjustment intervals and returns the mean limit of the last half.
func (p windowPath) adjust(w *orderWindow, intervals int) int {
	type order struct{ sent, passed, due time.Duration }
	var inFlight []order
	var now, free time.Duration
	sum := 0
	for n := range intervals {
		for ; now < time.Duration(n+1)*tickInterval; now += time.Millisecond {
			inFlight = slices.DeleteFunc(inFlight, func(o order) bool {
				switch {
				case o.passed <= now && o.passed <= o.due:
					w.remove(o.passed-o.sent, nil)
				case o.due <= now:
					w.remove(o.due-o.sent, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown))
				default:
					return false
				}
				return true
			})
			for w.open() {
				w.add()
				free = max(now, free) + p.perOrder
				inFlight = append(inFlight, order{now, free + p.fixed, now + w.timeout()})
			}
		}
		w.adjust()
		if n >= intervals/2 {
			sum += w.limit
		}
	}
	w.inFlight = 0
	return sum / (intervals - intervals/2)
}

// Guards against a limit that follows an absolute latency: it stays at its minimum where a reply takes long whatever the
// number of orders, and it grows without end, so that orders time out, where each order delays the others.
func TestOrderLimitFollowsItsEffectOnLatency(t *testing.T) {
	tests := []struct {
		name           string
		path           windowPath
		atLeast, below int
	}{
		{"replies take 120 ms", windowPath{fixed: 120 * time.Millisecond}, 1000, maxOrderLimit + 1},
		{"one order each 0.5 ms", windowPath{perOrder: 500 * time.Microsecond}, minStartLimit, minStartLimit * 5 / 4},
		{"one order each 1 ms", windowPath{perOrder: time.Millisecond}, minStartLimit, minStartLimit * 5 / 4},
		{"60 ms, one order each 0.2 ms", windowPath{fixed: 60 * time.Millisecond, perOrder: 200 * time.Microsecond}, minStartLimit, 2 * minStartLimit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newOrderWindow(initialStartLimit, minStartLimit)
			limit := test.path.adjust(&w, 200)
			t.Logf("limit %d", limit)
			assert.Check(t, limit >= test.atLeast && limit < test.below, "limit %d", limit)
		})
	}
}

// Guards against a limit that stays high when the path has become slow with each order in flight.
func TestOrderLimitFallsWhenThePathGetsSlow(t *testing.T) {
	w := newOrderWindow(initialStartLimit, minStartLimit)
	high := windowPath{fixed: 5 * time.Millisecond}.adjust(&w, 100)
	low := windowPath{perOrder: 500 * time.Microsecond}.adjust(&w, 200)
	t.Logf("limit %d, then %d", high, low)
	assert.Check(t, high > 2000)
	assert.Check(t, low < 2*minStartLimit, "limit %d", low)
}

// Guards against orders that are given up late because others are lost: each lost order then holds its task for a second
// instead of orderTimeout, which happened once half of them were lost. While hardly any order gets a reply, the timeout has to
// grow with the time that replies may take.
func TestTimeoutFollowsReplies(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is the number of lost orders of each ten.
		lost    int
		timeout time.Duration
	}{{"some_lost", 4, orderTimeout}, {"more_lost_than_answered", 6, orderTimeout}, {"few_answered", 8, orderTimeout}, {"most_lost", 9, maxOrderTimeout}} {
		t.Run(test.name, func(t *testing.T) {
			w := newOrderWindow(initialStartLimit, minStartLimit)
			lost := fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
			for range 100 {
				for n := range 10 {
					w.add()
					if n < test.lost {
						w.remove(w.timeout(), lost)
					} else {
						w.remove(5*time.Millisecond, nil)
					}
				}
				w.adjust()
			}
			assert.Equal(t, w.timeout(), test.timeout)
		})
	}
}

// Guards against a timeout that stays low where most replies are late: orders that are carried out would be given up.
func TestTimeoutFollowsLateReplies(t *testing.T) {
	w := newOrderWindow(initialStartLimit, minStartLimit)
	windowPath{fixed: 230 * time.Millisecond}.adjust(&w, 40)
	assert.Check(t, w.timeout() > 500*time.Millisecond, "timeout %v", w.timeout())
}

// Guards against connections that are refused at once counting as replies in time.
func TestRefusedConnectionsAreNoReplies(t *testing.T) {
	w := newOrderWindow(initialStartLimit, minStartLimit)
	for range 100 {
		for n := range 10 {
			w.add()
			took := w.timeout()
			if n < 3 {
				took = time.Millisecond
			}
			w.remove(took, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown))
		}
		w.adjust()
	}
	assert.Equal(t, w.timeout(), maxOrderTimeout)
}
