package site

import (
	"context"
	"maps"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/tenant"
	"samphirekeel.example/keel/work"
)

// The methods that entries call on the leader.
const (
	methodSubmitted = "job.submitted"
	methodState     = "job.state"
	methodCancel    = "job.cancel"
	methodPending   = "queue.pending"
	methodAccept    = "job.accept"
	methodOperator  = "operator.rows"
)

const (
	// notifyTimeout is the timeout for notifying the leader of a stored job, and for fetching the operator's rows from
	// it.
	notifyTimeout = 500 * time.Millisecond
	// acceptTimeout is the timeout for storing a job through the leader, also while the store is slow.
	acceptTimeout = 2400 * time.Millisecond
	// cancelTimeout is how long the leader waits for a cancellation to be stored before it responds that it is not
	// stored.
	cancelTimeout = 300 * time.Millisecond
)

// submission is a job that an entry has stored, with its version in the store, or that it forwards to be stored.
type submission struct {
	Job     *work.Job `json:"job"`
	Version uint64    `json:"version"`
}

// query names the job or the queue that a request is about.
type query struct {
	Name string `json:"name"`
	// Access is that of the caller, for a query about a job.
	Access tenant.Access `json:"access,omitzero"`
}

// queryResponse is the response to a query or a submission; Known is false if the receiver doesn't lead or doesn't know
// the job.
type queryResponse struct {
	Known   bool       `json:"known"`
	State   work.State `json:"state,omitempty"`
	Pending int        `json:"pending,omitempty"`
	// Foreign reports that the job belongs to a tenant whose jobs the caller may not see.
	Foreign bool `json:"foreign,omitempty"`
}

func (s *Entry) methods() map[string]peer.Method {
	methods := s.relayMethods()
	maps.Copy(methods, map[string]peer.Method{
		methodSubmitted: peer.NewMethod(func(ctx context.Context, in submission) queryResponse { return s.handleSubmitted(ctx, in) }),
		methodState:     peer.NewMethod(func(ctx context.Context, in query) queryResponse { return s.handleState(ctx, in) }),
		methodCancel:    peer.NewMethod(func(ctx context.Context, in query) queryResponse { return s.handleCancel(ctx, in) }),
		methodAccept:    peer.NewMethod(func(ctx context.Context, in submission) acceptResponse { return s.handleAccept(ctx, in) }),
		methodOperator:  peer.NewMethod(func(ctx context.Context, _ query) operatorRowsResponse { return s.listOperatorRows(ctx) }),
		methodPending:   peer.NewMethod(func(ctx context.Context, in query) queryResponse { return s.handlePending(ctx, in) }),
	})
	return methods
}

// acceptResponse is the outcome of a forwarded job.
type acceptResponse struct {
	Version uint64 `json:"version,omitempty"`
	// Kind and Text describe a failure; NotStored reports that the job was certainly not stored.
	Kind      string `json:"kind,omitempty"`
	Text      string `json:"text,omitempty"`
	NotStored bool   `json:"sure,omitempty"`
}

// handleAccept stores a job that another entry has forwarded.
func (s *Entry) handleAccept(ctx context.Context, in submission) acceptResponse {
	if in.Job == nil || s.storeUnavailable.Load() {
		return acceptResponse{Kind: fault.PlatformUnavailable.String(), Text: "store unavailable to the leader too", NotStored: true}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	stored, err := s.submissions.Submit(ctx, in.Job)
	if err != nil {
		failure := fault.As(err)
		return acceptResponse{Kind: failure.Kind().String(), Text: failure.Text(), NotStored: failure.Outcome() == fault.NotRun}
	}
	s.notifyLeader(stored)
	return acceptResponse{Version: stored.Version}
}

// forwardJob stores the job through the leader and returns its version in the store.
func (s *Entry) forwardJob(ctx context.Context, job *work.Job) (uint64, error) {
	record := s.currentLeader()
	if record.Holder == "" || record.Holder == s.Settings.Name {
		return 0, fault.New(fault.NotReady, "job not forwarded: no other entry is known to lead").WithOutcome(fault.NotRun)
	}
	var response acceptResponse
	err := s.node.CallWithTimeout(ctx, acceptTimeout, record.Address, methodAccept, submission{Job: job}, &response)
	if err != nil {
		return 0, fault.Wrap(fault.PlatformUnavailable, err, "forward job to the leader").WithOutcome(fault.As(err).Outcome())
	}
	return response.result()
}

// result returns the version of the stored job, or the failure. A response with neither leaves the outcome unknown.
func (r acceptResponse) result() (uint64, error) {
	if r.Kind == "" && r.Version != 0 {
		return r.Version, nil
	}
	if r.Kind == "" {
		return 0, fault.New(fault.PlatformUnavailable, "the leader states neither a version nor a failure").WithOutcome(fault.Unknown)
	}
	// An unknown kind, of another build, counts as Internal.
	kind, _ := fault.KindByName(r.Kind)
	failure := fault.New(kind, "the leader: %s", r.Text)
	if r.NotStored {
		return 0, failure.WithOutcome(fault.NotRun)
	}
	return 0, failure.WithOutcome(fault.Unknown)
}

// onLoop runs f on the control loop and returns its result, or the zero value if ctx ends first.
func onLoop[T any](ctx context.Context, s *Entry, f func() T) T {
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

func (s *Entry) handleSubmitted(ctx context.Context, in submission) queryResponse {
	return onLoop(ctx, s, func() queryResponse {
		if s.scheduler == nil || in.Job == nil {
			return queryResponse{}
		}
		s.scheduler.AddJob(in.Job, in.Version)
		return queryResponse{Known: true}
	})
}

func (s *Entry) handleState(ctx context.Context, in query) queryResponse {
	return onLoop(ctx, s, func() queryResponse {
		if s.scheduler == nil || !s.lease.Valid() {
			return queryResponse{}
		}
		state, ok := s.scheduler.State(in.Name)
		if ok && !in.Access.Allows(s.scheduler.Tenant(in.Name)) {
			return queryResponse{Known: true, Foreign: true}
		}
		return queryResponse{Known: ok, State: state}
	})
}

func (s *Entry) handlePending(ctx context.Context, in query) queryResponse {
	return onLoop(ctx, s, func() queryResponse {
		if s.scheduler == nil || !s.scheduler.Ready() || !s.lease.Valid() {
			return queryResponse{}
		}
		return queryResponse{Known: true, Pending: s.scheduler.PendingJobs(in.Name)}
	})
}

// handleCancel cancels a job and waits until the cancellation is stored.
func (s *Entry) handleCancel(ctx context.Context, in query) queryResponse {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	done := make(chan struct{})
	response := onLoop(ctx, s, func() queryResponse {
		if s.scheduler == nil {
			return queryResponse{}
		}
		_, known := s.scheduler.State(in.Name)
		if known && !in.Access.Allows(s.scheduler.Tenant(in.Name)) {
			return queryResponse{Known: true, Foreign: true}
		}
		return queryResponse{Known: s.scheduler.Cancel(in.Name, func() { close(done) })}
	})
	if !response.Known || response.Foreign {
		return response
	}
	select {
	case <-done:
		return queryResponse{Known: true}
	case <-ctx.Done():
		return queryResponse{}
	}
}

// queryLeader sends a query to the leader, or runs local if this entry is the leader; it returns false without a usable
// response.
func (s *Entry) queryLeader(ctx context.Context, method string, in query, local func(context.Context, query) queryResponse) (queryResponse, bool) {
	record := s.currentLeader()
	if record.Holder == "" {
		return queryResponse{}, false
	}
	if record.Holder == s.Settings.Name {
		response := local(ctx, in)
		return response, response.Known
	}
	var response queryResponse
	err := s.node.Call(ctx, record.Address, method, in, &response)
	return response, err == nil && response.Known
}

// notifyLeader notifies the leader of a stored job that hasn't ended, without waiting for the response.
func (s *Entry) notifyLeader(stored ledger.Submission) {
	record := s.currentLeader()
	if record.Holder == "" || stored.Job == nil {
		return
	}
	in := submission{Job: stored.Job, Version: stored.Version}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if record.Holder == s.Settings.Name {
			s.handleSubmitted(ctx, in)
			return
		}
		// An error is ignored, because the leader also finds the job in the store.
		_ = s.node.Call(ctx, record.Address, methodSubmitted, in, &queryResponse{})
	}()
}

// jobState returns a job's state and whether it comes from the leader or, if that has no response, from the store.
func (s *Entry) jobState(ctx context.Context, access tenant.Access, id string) (work.State, string, error) {
	r, ok := s.queryLeader(ctx, methodState, query{Name: id, Access: access}, s.handleState)
	if ok && r.Foreign {
		return "", viaLeader, s.foreignJob(callState, access, id)
	}
	if ok {
		return r.State, viaLeader, nil
	}
	state, err := s.jobs.Find(ctx, id)
	if err == nil {
		// The state is read first: a job that has a state has a row that tells its tenant, until it is forgotten.
		err = s.checkStoredTenant(ctx, callState, access, id)
	}
	if err != nil && !fault.IsKind(err, fault.NotExist) {
		return "", viaStore, fault.Wrap(fault.PlatformUnavailable, err, "state of job %s unavailable from the leader and the store", id).WithRetryAfter(retryAfter)
	}
	return state, viaStore, err
}

// cancelJob cancels a job through the leader, or else by a row in the store that the leader reads later, and returns
// which of them stored the cancellation.
func (s *Entry) cancelJob(ctx context.Context, access tenant.Access, id string) (string, error) {
	r, ok := s.queryLeader(ctx, methodCancel, query{Name: id, Access: access}, s.handleCancel)
	if ok && r.Foreign {
		return viaLeader, s.foreignJob(callCancel, access, id)
	}
	if ok {
		return viaLeader, nil
	}
	err := s.cancelInStore(ctx, access, id)
	if err != nil && !fault.IsKind(err, fault.NotExist) {
		return viaStore, fault.Wrap(fault.PlatformUnavailable, err, "failed to store the cancellation of job %s", id).WithRetryAfter(retryAfter)
	}
	return viaStore, err
}

// maxCancelAttempts limits how often a job is cancelled anew that was submitted while its cancel was being stored, or of which the cancel
// may not have been stored.
const maxCancelAttempts = 3

// cancelInStore cancels a job by a row in the store. A submission of a job that isn't stored may still be on its way, also one that
// another entry has sent; so that fails with kind NotExist only once no such submission can be stored any more.
func (s *Entry) cancelInStore(ctx context.Context, access tenant.Access, id string) error {
	var err error
	for range maxCancelAttempts {
		foreign, ownerErr := s.isForeign(ctx, access, id)
		if foreign {
			return s.foreignJob(callCancel, access, id)
		}
		err = ownerErr
		if err == nil {
			err = s.jobs.Cancel(ctx, id)
		}
		if !fault.IsKind(err, fault.NotExist) {
			return err
		}
		unknown := err
		err = s.submissions.CancelUnknown(ctx, id, access.Tenant)
		if err == nil {
			return unknown
		}
		if !fault.IsKind(err, fault.Conflict) && fault.As(err).Outcome() != fault.Unknown {
			return err
		}
	}
	return err
}
