package schedule

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// troubleSeeds is the number of plays of TestJobsRunAfterTrouble.
	troubleSeeds = 12
	// troubleEnd is the time within which jobs are submitted, faults begin and leaders change, and at which those faults end
	// that don't last.
	troubleEnd = 15 * time.Second
	// maxTroubleIdle is how long a job may then be without a run beside free capacity.
	maxTroubleIdle = 9 * time.Second
	// workersPerCentre is the number of workers of the pool in each of the two data centres. The last of each has no faults
	// that last.
	workersPerCentre = 4
	// maxTimeWithoutLeader is the longest time between two leaders, in which leases on workers end.
	maxTimeWithoutLeader = 8 * time.Second
	// maxTimeUnknown is how long after the trouble a leader may not know an accepted job.
	maxTimeUnknown = 3 * time.Second
	// firstTroubleJob is the ID of the first job.
	firstTroubleJob = 0xd001
)

// trouble draws a play: jobs, changes of leader, and faults of the calls between the leader, the workers and the store.
type trouble struct {
	*testbed
	mu     sync.Mutex
	random *rand.Rand
	// lossy holds, by worker address, the share of the calls without a response; half of these are carried out.
	lossy map[string]float64
	// lossyOrders is the same for the orders to start and to stop runs alone.
	lossyOrders map[string]float64
	// slowStarts is the share of the starts whose response comes after the timeout.
	slowStarts float64
	// roster is the share of the writes of roster rows that fail; half of these are carried out.
	roster float64
	jobs   int
	// hasPolicy is set if tasks need tickets in this play.
	hasPolicy bool
}

// chance returns true with the probability.
func (p *trouble) chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// between returns a random time of the interval.
func (p *trouble) between(from, to time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return from + time.Duration(p.random.Int64N(int64(to-from)+1))
}

func (p *trouble) intN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// share returns a share that a fault affects, which may change while the play lasts.
func (p *trouble) share(value *float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *value
}

func (p *trouble) lossOf(to worker.Target) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lossy[to.Address]
}

func (p *trouble) orderLossOf(to worker.Target) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lossy[to.Address] + p.lossyOrders[to.Address]
}

// answer carries out a call to a worker, or loses it or its response.
func answer[Reply any](ctx context.Context, p *trouble, share float64, call func() (Reply, error)) (Reply, error) {
	if !p.chance(share) {
		return call()
	}
	if p.chance(0.5) {
		_, _ = call()
	}
	<-ctx.Done()
	var none Reply
	return none, fault.New(fault.EndpointFailed, "response lost").WithOutcome(fault.Unknown)
}

// interpose makes the leader's calls pass through the drawn faults.
func (p *trouble) interpose() {
	workers, store := p.fleet.WorkerClient("leader"), p.store.Client("leader")
	p.start = func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		return answer(ctx, p, p.orderLossOf(to)+p.share(&p.slowStarts), func() (worker.Reply, error) { return workers.Start(ctx, to, o) })
	}
	p.stop = func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
		return answer(ctx, p, p.orderLossOf(to), func() (worker.Reply, error) { return workers.Stop(ctx, to, o) })
	}
	p.renew = func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
		return answer(ctx, p, p.lossOf(to), func() (worker.Status, error) { return workers.Renew(ctx, to, o) })
	}
	p.commit = func(ctx context.Context, txn table.Txn) (table.Result, error) {
		hasRoster := slices.ContainsFunc(txn.Writes, func(w table.Write) bool { return w.Table == ledger.RosterKey("").Table })
		if !hasRoster || !p.chance(p.share(&p.roster)) {
			return store.Commit(ctx, txn)
		}
		if p.chance(0.5) {
			return table.Result{}, fault.New(fault.PlatformUnavailable, "not carried out").WithOutcome(fault.NotRun)
		}
		_, _ = store.Commit(ctx, txn)
		<-ctx.Done()
		return table.Result{}, fault.New(fault.PlatformUnavailable, "response lost").WithOutcome(fault.Unknown)
	}
}

// addFleet adds the instances: two racks in each of two data centres, and one spare instance.
func (p *trouble) addFleet() {
	capacity := work.Size{MilliCores: 16000, MemoryMB: 32768}
	for _, dataCentre := range []string{"a", "b"} {
		for n := range workersPerCentre {
			p.fleet.Add(fmt.Sprintf("%s%d", dataCentre, n), "p", dataCentre, fmt.Sprintf("r%s-%d", dataCentre, n%2), capacity)
		}
	}
	p.fleet.Add("s0", "spare", "a", "ra-0", capacity)
}

// submitJob submits a job of a random shape.
func (p *trouble) submitJob() {
	id := fmt.Sprintf("%016x", firstTroubleJob+p.jobs)
	p.jobs++
	step := work.Step{Count: 1 + p.intN(8), Size: work.Size{MilliCores: 1900, MemoryMB: 912}}
	duration := p.between(100*time.Millisecond, 1500*time.Millisecond)
	switch p.intN(7) {
	case 0:
		step.Speculative = true
	case 1:
		step.Gang, step.Count = true, 2+p.intN(3)
	case 2:
		step.Gang, step.Count, step.MaxPerWorker = true, 2, 1
	case 3:
		step.MaxPerWorker = 1
	case 4:
		step.Label = "ra-1"
	case 5:
		step.Size.MilliCores, step.Checkpoints = 5000, true
	}
	step.Estimate = duration
	job := &work.Job{ID: id, Queue: "p", Home: []string{"", "a", "b"}[p.intN(3)], Steps: []work.Step{step}}
	if p.chance(0.3) {
		second := work.Step{Count: 2, Size: step.Size, Estimate: duration, After: []int{0}}
		job.Steps = append(job.Steps, second)
	}
	p.submit(job, duration)
}

// checkStates compares the states that the leader shows with what the jobs' runs have done. A leader may know a job late only
// while the trouble lasts and for maxTimeUnknown after it.
func (p *trouble) checkStates(healed time.Time) {
	for n := range p.jobs {
		id := fmt.Sprintf("%016x", firstTroubleJob+n)
		p.onLoop(func() {
			state, known := p.s.State(id)
			if known || time.Since(healed) > maxTimeUnknown {
				p.checker.CheckState(id, state, known)
			}
		})
	}
}

// play runs the drawn play and returns the job that was without a run for longest after the trouble, with that time.
func (p *trouble) play() (idle string, longest time.Duration) {
	p.addFleet()
	p.interpose()
	p.hasPolicy = p.chance(0.25)
	p.startEpoch(1, "p")
	p.setPolicy()
	time.Sleep(time.Second)
	p.makeTrouble()
	healed := time.Now()
	for range 120 {
		time.Sleep(250 * time.Millisecond)
		p.checkStates(healed)
		id, since := p.checker.LongestIdle()
		if id == "" {
			continue
		}
		waited := min(time.Since(since), time.Since(healed))
		if waited > longest {
			idle, longest = id, waited
		}
	}
	return idle, longest
}

// changeLeader replaces the leader, in some cases after a time without one.
func (p *trouble) changeLeader() {
	p.onLoop(p.s.End)
	if p.chance(0.5) {
		time.Sleep(p.between(0, maxTimeWithoutLeader))
	}
	p.startEpoch(p.s.Epoch+1, "p")
	p.setPolicy()
}

// setPolicy gives the queue a policy that denies some workers and loses some requests, if the play has one.
func (p *trouble) setPolicy() {
	if !p.hasPolicy {
		return
	}
	p.onLoop(func() {
		p.s.Config.QueueByName("p").Policy = &queue.PolicyTiming{TicketValidity: 2 * time.Second}
		p.s.Policy = &worker.PolicyClient{RequestTickets: p.grantTickets}
	})
}

func (p *trouble) grantTickets(ctx context.Context, _ string, workers []string, _ time.Duration) ([]worker.Ticket, error) {
	return answer(ctx, p, 0.2, func() ([]worker.Ticket, error) {
		time.Sleep(20 * time.Millisecond)
		var tickets []worker.Ticket
		for _, id := range workers {
			if p.chance(0.7) {
				tickets = append(tickets, worker.Ticket{Worker: id, Ticket: id})
			}
		}
		return tickets, nil
	})
}

// troubleStep is what a play does at a time.
type troubleStep struct {
	at time.Duration
	do func()
}

// makeTrouble submits the drawn jobs, changes the leader and starts the drawn faults, and then ends those that don't last.
func (p *trouble) makeTrouble() {
	began := time.Now()
	var ends []func()
	var steps []troubleStep
	for range 12 + p.intN(24) {
		steps = append(steps, troubleStep{p.between(0, troubleEnd), p.submitJob})
	}
	for range 2 + p.intN(4) {
		f := troubleFaults[p.intN(len(troubleFaults))]
		lasts := f.lasts && p.chance(0.5)
		from := p.between(0, troubleEnd)
		p.t.Logf("%s at %s, lasts: %t", f.name, from, lasts)
		steps = append(steps, troubleStep{from, func() {
			end := f.begin(p)
			if !lasts {
				ends = append(ends, end)
			}
		}})
	}
	for range p.intN(4) {
		steps = append(steps, troubleStep{p.between(0, troubleEnd), p.changeLeader})
	}
	slices.SortFunc(steps, func(a, b troubleStep) int { return cmp.Compare(a.at, b.at) })
	for _, step := range steps {
		time.Sleep(time.Until(began.Add(step.at)))
		step.do()
	}
	time.Sleep(time.Until(began.Add(troubleEnd)))
	for _, end := range ends {
		end()
	}
}

// keepTroubleLog writes the log of a play that has failed to the directory that SAMPHIREKEEL_TROUBLE_LOG names, if it is set.
func keepTroubleLog(t *testing.T, seed uint64, log *bytes.Buffer) {
	directory := os.Getenv("SAMPHIREKEEL_TROUBLE_LOG")
	if t.Failed() && directory != "" {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, fmt.Sprintf("trouble-%d.log", seed)), log.Bytes(), 0o600))
	}
}

// Guards against a job that has no run beside free capacity, for longer than the waits of the scheduler may take, after or
// during faults that overlap: lost responses, late orders, failing runs, failing writes and changes of leader.
// SAMPHIREKEEL_TROUBLE is the number of further plays, SAMPHIREKEEL_TROUBLE_LOG a directory for the logs of those that fail.
func TestJobsRunAfterTrouble(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("SAMPHIREKEEL_TROUBLE"))
	for seed := range uint64(troubleSeeds + more) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			var log bytes.Buffer
			withTestbed(t, func(b *testbed) {
				b.log = event.New(&log, true)
				p := &trouble{testbed: b, random: rand.New(rand.NewPCG(seed, 7)), lossy: make(map[string]float64), lossyOrders: make(map[string]float64)}
				id, longest := p.play()
				t.Logf("longest without a run: job %s, %s", id, longest)
				assert.Check(t, longest <= maxTroubleIdle, "job %s had no run for %s, %s allowed", id, longest, maxTroubleIdle)
			})
			keepTroubleLog(t, seed, &log)
		})
	}
}
