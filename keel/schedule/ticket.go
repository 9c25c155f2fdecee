package schedule

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/policy"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// maxTicketWorkers is the maximum number of workers in one request for tickets.
	maxTicketWorkers = 30
	// ticketRequestInterval is the minimum interval between requests for the same step.
	ticketRequestInterval = 150 * time.Millisecond
	// ticketValidityMargin is the share of a ticket's validity that is left unused.
	ticketValidityMargin = 0.1
	// deniedTime is how long a worker without a ticket isn't asked for again. A policy doesn't change for a step, but may not have
	// known a worker that had just booted.
	deniedTime = 10 * time.Second
	// A step of which all workers with room were denied is asked for again after minDeniedRetry, after each further such answer
	// twice as long, up to maxDeniedRetry, and after all other steps.
	minDeniedRetry = 500 * time.Millisecond
	maxDeniedRetry = 8 * time.Second
	// maxWidenings limits how often a step doubles the number of workers that it asks for.
	maxWidenings = 5
)

// stepTickets holds the tickets that the placement policy of a step's queue has issued, one for each worker that the
// step may start on.
type stepTickets struct {
	// byWorker holds the tickets by worker; it is nil for a step without a policy.
	byWorker map[string]cachedTicket
	// call is the latest request, nil if it has ended; requestedAt is when the latest one was sent or ended.
	call        *policy.Call
	requestedAt time.Duration
	// denied holds the workers for which the policy issued no ticket, with the boot that it was asked for.
	denied map[string]denial
	// shortfalls counts the answers in a row without a ticket; denied workers may be asked for again from retryAt on.
	shortfalls int
	retryAt    time.Duration
}

type cachedTicket struct {
	ticket  string
	expires time.Duration
	// boot is the worker's boot for which the ticket was issued.
	boot worker.Boot
}

// denial is an answer of a policy without a ticket for a worker.
type denial struct {
	boot  worker.Boot
	until time.Duration
}

// policyState holds the calls to the policy service and what is known of the queues' policies.
type policyState struct {
	calls policy.Calls
	// shares holds the share of workers that a policy allows, by queue.
	shares map[string]*policy.Share
	// servedAt holds when the last call for a step of a pool was sent.
	servedAt map[*pool]time.Duration
	// wanted holds the first step of each pool that lacks tickets, in the order of service of the present pass.
	wanted []ticketRequest
	// inFlight holds the steps of the calls in flight, with the tasks that they are for.
	inFlight map[*policy.Call]ticketRequest
}

// ticketRequest is a request for tickets with which a number of the step's tasks could start.
type ticketRequest struct {
	step    *stepState
	tasks   int
	workers []*workerState
	// again is set if all of the workers have been denied before.
	again bool
}

// setQueues forgets the policies of queues that the configuration lacks.
func (ps *policyState) setQueues(c *queue.Config) {
	maps.DeleteFunc(ps.shares, func(name string, _ *policy.Share) bool { return c.QueueByName(name) == nil })
}

func (ps *policyState) init() {
	ps.shares = make(map[string]*policy.Share)
	ps.servedAt = make(map[*pool]time.Duration)
	ps.inFlight = make(map[*policy.Call]ticketRequest)
}

// share returns the share of the workers that the queue's policy allows.
func (ps *policyState) share(queue string) *policy.Share {
	share := ps.shares[queue]
	if share == nil {
		share = &policy.Share{}
		ps.shares[queue] = share
	}
	return share
}

// reserved returns the capacity in the pool that the steps of the calls in flight are going to take.
func (ps *policyState) reserved(p *pool, now time.Duration) work.Size {
	var sum work.Size
	for call, r := range ps.inFlight {
		j := r.step.occurrence.job
		if j.pool != p || !j.open() || call.IsOverdue(now) {
			continue
		}
		for range min(r.tasks, r.step.waiting) {
			sum = sum.Plus(r.step.size())
		}
	}
	return sum
}

// allows reports whether the step may start on the worker.
func (st *stepTickets) allows(w *workerState, now time.Duration) bool {
	if st.byWorker == nil {
		return true
	}
	t, ok := st.byWorker[w.ID]
	return ok && now < t.expires && !t.boot.IsOther(w.boot)
}

func (st *stepTickets) forWorker(w *workerState) string { return st.byWorker[w.ID].ticket }

// denies reports whether the policy has denied the worker of late.
func (st *stepTickets) denies(w *workerState, now time.Duration) bool {
	d, ok := st.denied[w.ID]
	return ok && now < d.until && !d.boot.IsOther(w.boot)
}

// mayRequest reports whether tickets may be requested for the step: its latest request has ended a while ago, or its response is
// overdue.
func (st *stepTickets) mayRequest(now time.Duration) bool {
	if st.call != nil {
		return st.call.IsOverdue(now)
	}
	return st.requestedAt == 0 || now-st.requestedAt >= ticketRequestInterval
}

// ensureTickets reports whether the step has no policy or has a valid ticket for some worker with enough capacity that
// its constraints permit. If these workers have room for fewer tasks than wait, it notes that the step lacks tickets.
func (s *Scheduler) ensureTickets(step *stepState, pl *planner) bool {
	q := step.occurrence.job.queue
	st := &step.tickets
	if q.Policy == nil || s.Policy == nil {
		st.byWorker = nil
		return true
	}
	if st.byWorker == nil {
		st.byWorker = make(map[string]cachedTicket)
		st.denied = make(map[string]denial)
	}
	eligible := pl.eligible(step)
	room := pl.ticketRoom(step, eligible)
	switch {
	case room.tasks >= step.waiting:
	case room.untried > 0:
		pl.wantTickets(step, eligible, room)
	case room.tasks == 0:
		// No candidate is left that could get a ticket, unless the policy allows one that it has denied.
		pl.addMissing(step, step.waiting)
		pl.wantDenied(step, eligible, room)
	}
	return room.tasks > 0
}

// ticketRoom is the room for a step on the workers that its constraints permit.
type ticketRoom struct {
	// tasks is the number of tasks for which there is room on workers with a ticket, untried the number of workers with room that
	// have no ticket and weren't denied, free the free capacity of both, and denied the number of denied workers with room.
	tasks, untried, denied int
	free                   work.Size
}

func (pl *planner) ticketRoom(step *stepState, eligible []*workerState) ticketRoom {
	var room ticketRoom
	st := &step.tickets
	for _, w := range eligible {
		if !step.permits(w, 1) || !w.free().Holds(step.size()) {
			continue
		}
		switch {
		case st.allows(w, pl.now):
			room.tasks += step.tasksOn(w)
		case !st.denies(w, pl.now):
			room.untried++
		default:
			room.denied++
			continue
		}
		room.free = room.free.Plus(w.free())
	}
	return room
}

// wantTickets notes that the step is the first of its pool that lacks tickets, if a request may be sent and there is room beyond
// what the steps of the requests in flight are going to take.
func (pl *planner) wantTickets(step *stepState, eligible []*workerState, room ticketRoom) {
	ps := &pl.s.policy
	if pl.ticketWanted || !step.tickets.mayRequest(pl.now) || !ps.calls.MayCall(pl.now) {
		return
	}
	if !room.free.Minus(ps.reserved(step.occurrence.job.pool, pl.now)).Holds(step.size()) {
		return
	}
	pl.ticketWanted = true
	ps.wanted = append(ps.wanted, pl.newTicketRequest(step, eligible, step.waiting-room.tasks, false))
}

// wantDenied notes that the step is the first of its pool of which all workers with room were denied a while ago.
func (pl *planner) wantDenied(step *stepState, eligible []*workerState, room ticketRoom) {
	st := &step.tickets
	if pl.deniedWanted.step != nil || room.denied == 0 || pl.now < st.retryAt || !st.mayRequest(pl.now) || !pl.s.policy.calls.MayCall(pl.now) {
		return
	}
	pl.deniedWanted = pl.newTicketRequest(step, eligible, step.waiting, true)
}

// finishTickets requests tickets for denied workers if no step of the pool has others.
func (pl *planner) finishTickets() {
	if !pl.ticketWanted && pl.deniedWanted.step != nil {
		pl.s.policy.wanted = append(pl.s.policy.wanted, pl.deniedWanted)
	}
}

// tasksOn returns how many further tasks of the step fit on the worker, which has room for one.
func (st *stepState) tasksOn(w *workerState) int {
	n := tasksIn(w.free(), st.size())
	if st.spec.MaxPerWorker > 0 {
		n = min(n, st.spec.MaxPerWorker-w.perStep[st])
	}
	return n
}

// newTicketRequest returns a request for tickets with which the number of tasks could start: for the workers on which they cost
// least, and as many that the policy most likely allows enough of them; again is set to ask for denied workers.
func (pl *planner) newTicketRequest(step *stepState, eligible []*workerState, tasks int, again bool) ticketRequest {
	st := &step.tickets
	type option struct {
		*workerState
		cost float64
	}
	var options []option
	for _, w := range eligible {
		if step.permits(w, 1) && w.free().Holds(step.size()) && !st.allows(w, pl.now) && st.denies(w, pl.now) == again {
			options = append(options, option{w, pl.cost(step, w, w.free(), nil)})
		}
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ID, b.ID)) })
	need, room := 0, 0
	for _, o := range options {
		if room >= tasks {
			break
		}
		room += step.tasksOn(o.workerState)
		need++
	}
	if step.spec.Speculative {
		// A second run needs another worker.
		need = max(need, 2)
	}
	limit := min(len(options), maxTicketWorkers)
	n := pl.s.policy.share(step.occurrence.job.Queue).WorkersFor(need, limit)
	n = min(limit, n<<min(st.shortfalls, maxWidenings))
	r := ticketRequest{step: step, tasks: min(tasks, room), again: again}
	for _, o := range options[:n] {
		r.workers = append(r.workers, o.workerState)
	}
	return r
}

// requestTickets sends the request of the pool that has waited longest for one, of those of the present pass; those for denied
// workers come last.
func (s *Scheduler) requestTickets(now time.Duration) {
	wanted := s.policy.wanted
	s.policy.wanted = nil
	if len(wanted) == 0 {
		return
	}
	fresh := slices.DeleteFunc(slices.Clone(wanted), func(r ticketRequest) bool { return r.again })
	if len(fresh) > 0 {
		wanted = fresh
	}
	r := slices.MinFunc(wanted, func(a, b ticketRequest) int {
		return cmp.Compare(s.policy.servedAt[a.step.occurrence.job.pool], s.policy.servedAt[b.step.occurrence.job.pool])
	})
	s.policy.servedAt[r.step.occurrence.job.pool] = now
	s.sendTicketRequest(r, now)
}

func (s *Scheduler) sendTicketRequest(r ticketRequest, now time.Duration) {
	var ids []string
	boots := make(map[string]worker.Boot)
	for _, w := range r.workers {
		ids = append(ids, w.ID)
		boots[w.ID] = w.boot
	}
	step, st, timing := r.step, &r.step.tickets, r.step.occurrence.job.queue.Policy
	name := (&task{step: step}).id().StepName()
	request := s.policy.calls.Begin(now, timing.BaseTime+timing.TimePerWorker*time.Duration(len(ids)))
	st.call, st.requestedAt = request, now
	s.policy.inFlight[request] = r
	call(s, policy.ResponseTimeout, func(ctx context.Context) ([]worker.Ticket, error) {
		return s.Policy.RequestTickets(ctx, name, ids, policy.ResponseTimeout)
	}, func(tickets []worker.Ticket, err error) {
		ended := s.Now()
		delete(s.policy.inFlight, request)
		if st.call == request {
			st.call, st.requestedAt = nil, ended
		}
		s.Metrics.addPolicyCall(ended-now, len(ids), len(tickets), err)
		if err != nil {
			s.policy.calls.Failed(request, ended)
			s.Log.Write(event.TaskRefused, event.Fields{"task": name, "run": 0, "worker": "", "reason": "ticket request failed: " + err.Error()})
			return
		}
		s.policy.calls.Answered(request, ended)
		s.policy.share(step.occurrence.job.Queue).Add(len(tickets), len(ids))
		s.Log.WriteFunc(event.TicketsIssued, func() event.Fields {
			return event.Fields{
				"step": name, "workers": len(ids), "allowed": len(tickets), "took_ms": (ended - now).Milliseconds(),
				"slowdown": s.policy.calls.Slowdown(), "in_flight": len(s.policy.inFlight), "waiting": step.waiting,
			}
		})
		st.record(tickets, boots, ended, timing.TicketValidity)
		s.schedulePlan()
	})
}

// record records the answer to a request for the workers, whose boots are given.
func (st *stepTickets) record(tickets []worker.Ticket, boots map[string]worker.Boot, now, validity time.Duration) {
	if st.byWorker == nil {
		// A new version of the configuration has no policy for the queue.
		return
	}
	expires := now + time.Duration(float64(validity)*(1-ticketValidityMargin))
	for _, t := range tickets {
		st.byWorker[t.Worker] = cachedTicket{ticket: t.Ticket, expires: expires, boot: boots[t.Worker]}
		delete(st.denied, t.Worker)
		delete(boots, t.Worker)
	}
	for id, boot := range boots {
		st.denied[id] = denial{boot: boot, until: now + deniedTime}
	}
	if len(tickets) > 0 {
		st.shortfalls, st.retryAt = 0, 0
		return
	}
	st.retryAt = now + min(maxDeniedRetry, minDeniedRetry<<min(st.shortfalls, maxWidenings))
	st.shortfalls++
}
