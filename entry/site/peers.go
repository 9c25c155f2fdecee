package site

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/work"
)

// The methods that entries ask the leader.
const (
	methodSubmitted = "job.submitted"
	methodState     = "job.state"
	methodCancel    = "job.cancel"
	methodPending   = "queue.pending"
	methodAccept    = "job.accept"
	methodOperator  = "operator.rows"
)

const (
	// tellTimeout bounds telling the leader of a job; it finds the job in the store otherwise.
	tellTimeout = 500 * time.Millisecond
	// acceptTimeout bounds the storing of a job by another entry while the store is slow.
	acceptTimeout = 2400 * time.Millisecond
	// cancelWait is how long the leader waits for a cancel to be stored before it says that it isn't yet.
	cancelWait = 300 * time.Millisecond
)

// submitted tells of a job that was stored.
type submitted struct {
	Job     *work.Job `json:"job"`
	Version uint64    `json:"version"`
}

// question asks about a job or a queue.
type question struct {
	Name string `json:"name"`
}

// reply answers a question; Known is false where the leader can't tell.
type reply struct {
	Known   bool       `json:"known"`
	State   work.State `json:"state,omitempty"`
	Pending int        `json:"pending,omitempty"`
}

func (s *Site) methods() map[string]peer.Method {
	return map[string]peer.Method{
		methodSubmitted: peer.NewMethod(func(ctx context.Context, in submitted) reply { return s.takeSubmitted(ctx, in) }),
		methodState:     peer.NewMethod(func(ctx context.Context, in question) reply { return s.answerState(ctx, in.Name) }),
		methodCancel:    peer.NewMethod(func(ctx context.Context, in question) reply { return s.answerCancel(ctx, in.Name) }),
		methodAccept:    peer.NewMethod(func(ctx context.Context, in submitted) accepted { return s.acceptFor(ctx, in) }),
		methodOperator:  peer.NewMethod(func(ctx context.Context, _ question) operatorRows { return s.giveOperatorRows(ctx) }),
		methodPending:   peer.NewMethod(func(ctx context.Context, in question) reply { return s.answerPending(ctx, in.Name) }),
	}
}

// accepted says what became of a job that another entry passed on.
type accepted struct {
	Version uint64 `json:"version,omitempty"`
	// Kind and Text describe a failure, Sure says that the job was not stored.
	Kind string `json:"kind,omitempty"`
	Text string `json:"text,omitempty"`
	Sure bool   `json:"sure,omitempty"`
}

// acceptFor stores a job for an entry that the store doesn't answer.
func (s *Site) acceptFor(ctx context.Context, in submitted) accepted {
	if in.Job == nil || s.storeLost.Load() {
		return accepted{Kind: fault.PlatformUnavailable.String(), Text: "the store doesn't answer the leader either", Sure: true}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	version, err := s.inbox.Submit(ctx, in.Job)
	if err != nil {
		failure := fault.As(err)
		return accepted{Kind: failure.Kind().String(), Text: failure.Text(), Sure: failure.Outcome() == fault.NotRun}
	}
	s.tell(in.Job, version)
	return accepted{Version: version}
}

// passOn has the leader store the job.
func (s *Site) passOn(ctx context.Context, job *work.Job) (uint64, error) {
	record := s.lease.Leader()
	if record.Holder == "" || record.Holder == s.Settings.Name {
		return 0, fault.New(fault.NotReady, "no other entry is known that could store the job").WithOutcome(fault.NotRun)
	}
	var out accepted
	err := s.node.CallWithTimeout(ctx, acceptTimeout, record.Address, methodAccept, submitted{Job: job}, &out)
	if err != nil {
		return 0, fault.Wrap(fault.PlatformUnavailable, err, "pass the job on").WithOutcome(fault.As(err).Outcome())
	}
	if out.Kind == "" {
		return out.Version, nil
	}
	kind, _ := fault.KindByName(out.Kind)
	failure := fault.New(kind, "the leader: %s", out.Text)
	if out.Sure {
		return 0, failure.WithOutcome(fault.NotRun)
	}
	return 0, failure.WithOutcome(fault.Unknown)
}

// onLoop runs f on the control loop and waits for what it returns; it returns the zero value if ctx ends first.
func onLoop[T any](ctx context.Context, s *Site, f func() T) T {
	done := make(chan T, 1)
	s.loop.Post(ctx, func() { done <- f() })
	select {
	case value := <-done:
		return value
	case <-ctx.Done():
		var none T
		return none
	}
}

func (s *Site) takeSubmitted(ctx context.Context, in submitted) reply {
	return onLoop(ctx, s, func() reply {
		if s.scheduler == nil || in.Job == nil {
			return reply{}
		}
		s.scheduler.AddJob(in.Job, in.Version)
		return reply{Known: true}
	})
}

func (s *Site) answerState(ctx context.Context, id string) reply {
	return onLoop(ctx, s, func() reply {
		if s.scheduler == nil || !s.lease.Valid() {
			return reply{}
		}
		state, ok := s.scheduler.State(id)
		return reply{Known: ok, State: state}
	})
}

func (s *Site) answerPending(ctx context.Context, name string) reply {
	return onLoop(ctx, s, func() reply {
		if s.scheduler == nil || !s.scheduler.Ready() || !s.lease.Valid() {
			return reply{}
		}
		return reply{Known: true, Pending: s.scheduler.PendingJobs(name)}
	})
}

// answerCancel cancels a job and waits until that is stored.
func (s *Site) answerCancel(ctx context.Context, id string) reply {
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	done := make(chan struct{})
	known := onLoop(ctx, s, func() bool {
		return s.scheduler != nil && s.scheduler.Cancel(id, func() { close(done) })
	})
	if !known {
		return reply{}
	}
	select {
	case <-done:
		return reply{Known: true}
	case <-ctx.Done():
		return reply{}
	}
}

// ask asks the leader, which may be this entry itself; it returns false if the leader can't tell.
func (s *Site) ask(ctx context.Context, method string, in question, own func(context.Context, string) reply) (reply, bool) {
	record := s.lease.Leader()
	if record.Holder == "" {
		return reply{}, false
	}
	if record.Holder == s.Settings.Name {
		r := own(ctx, in.Name)
		return r, r.Known
	}
	var out reply
	err := s.node.Call(ctx, record.Address, method, in, &out)
	return out, err == nil && out.Known
}

// tell tells the leader of a job without waiting.
func (s *Site) tell(job *work.Job, version uint64) {
	record := s.lease.Leader()
	if record.Holder == "" {
		return
	}
	in := submitted{Job: job, Version: version}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if record.Holder == s.Settings.Name {
			s.takeSubmitted(ctx, in)
			return
		}
		// The leader finds a job that it wasn't told of in the store.
		_ = s.node.Call(ctx, record.Address, methodSubmitted, in, &reply{})
	}()
}

// stateOf returns a job's state and who told it: the leader, or else the store.
func (s *Site) stateOf(ctx context.Context, id string) (work.State, string, error) {
	r, ok := s.ask(ctx, methodState, question{Name: id}, s.answerState)
	if ok {
		return r.State, viaLeader, nil
	}
	state, err := s.jobs.Find(ctx, id)
	if err != nil && !fault.IsKind(err, fault.NotExist) {
		return "", viaStore, fault.Wrap(fault.PlatformUnavailable, err, "neither the leader nor the store tells the state of job %s", id).WithRetryAfter(comeBack)
	}
	return state, viaStore, err
}

// cancelJob cancels a job through the leader, or else by a row that the leader finds, and returns who stored it.
func (s *Site) cancelJob(ctx context.Context, id string) (string, error) {
	_, ok := s.ask(ctx, methodCancel, question{Name: id}, s.answerCancel)
	if ok {
		return viaLeader, nil
	}
	err := s.jobs.Cancel(ctx, id)
	if err != nil && !fault.IsKind(err, fault.NotExist) {
		return viaStore, fault.Wrap(fault.PlatformUnavailable, err, "the cancel of job %s can't be stored", id).WithRetryAfter(comeBack)
	}
	return viaStore, err
}

// pendingOf returns the number of the queue's jobs of which no task has started, and who told it.
func (s *Site) pendingOf(ctx context.Context, name string) (int, string, error) {
	r, ok := s.ask(ctx, methodPending, question{Name: name}, s.answerPending)
	if ok {
		return r.Pending, viaLeader, nil
	}
	contents, err := ledger.Load(ctx, s.Store)
	if err != nil {
		return 0, viaStore, fault.Wrap(fault.PlatformUnavailable, err, "neither the leader nor the store tells what waits").WithRetryAfter(comeBack)
	}
	return countPending(contents, name), viaStore, nil
}

// countPending counts the queue's jobs of which no start is stored.
func countPending(c ledger.Contents, name string) int {
	cancelled := make(map[string]bool)
	for _, id := range c.Cancels {
		cancelled[id] = true
	}
	n := 0
	for _, submission := range c.Jobs {
		entry := c.JobRecords[submission.Job.ID]
		started := entry.Outcome != nil || entry.Progress != nil && entry.Progress.Started
		if submission.Job.Queue == name && !started && !cancelled[submission.Job.ID] {
			n++
		}
	}
	return n
}
