package site

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/platform"
)

const (
	// maxBodyBytes is the maximum size of a request's body, which applies before the limits of its queue are known.
	maxBodyBytes = 4 << 20
	// defaultIdleTimeout is how long a caller's connection may be idle before it is closed, unless the configuration says so. A longer
	// time than maxIdleTimeout isn't applied.
	defaultIdleTimeout = 60 * time.Second
	maxIdleTimeout     = 5 * time.Minute
	// idleCheckInterval is the interval between two checks for idle connections.
	idleCheckInterval = time.Second
	// defaultCallerTimeout is the timeout of a caller that doesn't send one.
	defaultCallerTimeout = 3 * time.Second
	// responseMargin is subtracted from the caller's timeout, so that the response arrives in time.
	responseMargin = 60 * time.Millisecond
	// slowStoreLatency is the latency of a transaction, usually 20 ms, above which jobs are forwarded to the leader,
	// which writes the jobs of all entries in common transactions.
	slowStoreLatency = 150 * time.Millisecond
	// submitRetryDelay is the delay between two attempts to store a job.
	submitRetryDelay = 40 * time.Millisecond
	// viaStore and viaLeader are the values of the log field via: which of them served the request.
	viaStore  = "store"
	viaLeader = "leader"
	// retryAfter is the retry delay in the response to a rejected caller; another entry may serve the request sooner.
	retryAfter = time.Second
)

// serveCaller serves one request of a caller and records its duration.
func (s *Entry) serveCaller(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	call := s.handleCaller(ctx)
	s.requests.observe(call, ctx.Response.StatusCode(), time.Since(began))
}

// handleCaller serves one request of a caller and returns the call's name in the metrics.
func (s *Entry) handleCaller(ctx *fasthttp.RequestCtx) string {
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	// The check is read before the configuration, which may be replaced by a newer one in between.
	current := s.configCurrent()
	config := s.config.Load()
	if config == nil {
		writeError(ctx, fault.New(fault.NotReady, "no configuration loaded yet on this entry").WithRetryAfter(retryAfter))
		return callOther
	}
	path := string(ctx.Path())
	q := config.QueueForRequest(string(ctx.Host()), path)
	if q == nil {
		writeError(ctx, unknownQueue(string(ctx.Host()), path, current))
		return callOther
	}
	from, err := s.authorise(checkedConfig{config, current}, q, &ctx.Request.Header)
	if config.Tenants != nil && !q.Public {
		defer func() { s.tenants.observe(from.tenant, ctx.Response.StatusCode()) }()
	}
	if err != nil {
		writeError(ctx, err)
		return callOther
	}
	id := strings.TrimPrefix(path, q.Prefix)
	timeout := platform.CallerTimeout(&ctx.Request.Header)
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	callCtx, cancel := context.WithTimeout(context.Background(), max(responseMargin, timeout-responseMargin))
	defer cancel()
	switch {
	case ctx.IsGet() && id == "":
		s.servePending(callCtx, ctx, q)
		return callPending
	case !work.ValidID(id):
		writeError(ctx, fault.New(fault.BadRequest, "%q is not a job's ID of 16 hexadecimal digits", id))
	case ctx.IsPost():
		s.serveSubmit(callCtx, ctx, checkedConfig{config, current}, q, from, id)
		return callSubmit
	case ctx.IsGet():
		s.serveState(callCtx, ctx, from, id)
		return callState
	case ctx.IsDelete():
		s.serveCancel(callCtx, ctx, from, id)
		return callCancel
	default:
		writeError(ctx, fault.New(fault.BadRequest, "unsupported method %s", ctx.Method()))
	}
	return callOther
}

// unknownQueue returns the error for a request that no queue of the configuration serves. That there is none is known
// only if the configuration is current.
func unknownQueue(host, path string, current bool) error {
	if !current {
		return fault.New(fault.NotReady, "no queue known at %s%s, and the configuration of this entry may be out of date", host, path).WithRetryAfter(retryAfter)
	}
	return fault.New(fault.UnknownService, "no queue at %s%s", host, path)
}

// writeError writes an error response.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	failure := fault.As(err)
	ctx.Response.Reset()
	ctx.SetStatusCode(platform.HTTPStatus(failure.Kind()))
	if failure.RetryAfter() > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, failure.RetryAfterHeader())
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":` + strconv.Quote(failure.Text()) + `}`)
}

// rejectUnreadable responds to a request that can't be read.
func rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	var known *fault.Error
	if !errors.As(err, &known) {
		known = fault.Wrap(fault.BadRequest, err, "malformed request")
	}
	writeError(ctx, known)
	ctx.SetConnectionClose()
}

// checkedConfig is the applied configuration; current reports whether it is known to be the one in force.
type checkedConfig struct {
	*queue.Config
	current bool
}

// readBody reads the body of a submission. It fails with kind TooLarge for a body above the limit only if that limit is known to be in
// force.
func (c checkedConfig) readBody(ctx *fasthttp.RequestCtx) error {
	limit := bodyLimit(c.Limits)
	err := connection.ReadBody(ctx, limit)
	if fault.IsKind(err, fault.TooLarge) && limit < maxBodyBytes && !c.current {
		return fault.Wrap(fault.NotReady, err, "the last known limit on submissions may be out of date").WithRetryAfter(retryAfter)
	}
	return err
}

func (s *Entry) serveSubmit(callCtx context.Context, ctx *fasthttp.RequestCtx, config checkedConfig, q *queue.Queue, from caller, id string) {
	err := config.readBody(ctx)
	if err == nil {
		err = connection.Hold(ctx, platform.JobMemory(ctx.PostBody()))
	}
	if err == nil {
		err = s.submitBody(callCtx, config, q, from, id, ctx.PostBody())
	}
	if err != nil {
		s.rejectSubmission(ctx, id, from, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// submitBody decodes, checks and stores a job.
func (s *Entry) submitBody(callCtx context.Context, config checkedConfig, q *queue.Queue, from caller, id string, body []byte) error {
	job, err := platform.DecodeJob(id, q.Name, body)
	if err != nil {
		return err
	}
	job.Terms, job.Tenant = config.Terms(q), from.tenant
	err = config.checkCap(job)
	if err != nil {
		return err
	}
	return s.submit(callCtx, job, from)
}

// submit checks and stores a job and notifies the leader.
func (s *Entry) submit(ctx context.Context, job *work.Job, from caller) error {
	err := job.Check()
	if err != nil {
		return err
	}
	job.Accepted = s.Wall().Milliseconds()
	if !job.LongRunning() {
		job.Home = s.Settings.DataCentre
	}
	began := time.Now()
	version, via, err := s.storeJob(ctx, job, from)
	if err != nil {
		return err
	}
	s.Log.Write(event.JobStored, event.Fields{
		"job": job.ID, "queue": job.Queue, "tenant": job.Tenant, "data_centre": s.Settings.DataCentre, "version": version, "via": via,
		"took_ms": time.Since(began).Milliseconds(),
	})
	return nil
}

func (s *Entry) rejectSubmission(ctx *fasthttp.RequestCtx, id string, from caller, err error) {
	failure := fault.As(err)
	s.Log.Write(event.JobRefused, event.Fields{
		"job": id, "tenant": from.tenant, "kind": failure.Kind().String(), "outcome": string(failure.Outcome()), "reason": err.Error(),
	})
	writeError(ctx, err)
}

// storeJob stores the job and notifies the leader of it. It returns the job's version in the store and whether this entry
// (viaStore) or the leader (viaLeader) stored it. An attempt with an unknown outcome is retried, because the job must not
// be rejected while it may have been stored; if the caller's timeout ends first, or neither the store nor the leader can be
// reached any more, the error has the kind OutcomeUnknown. A job that isn't stored yet is rejected if its caller's key is withdrawn.
func (s *Entry) storeJob(ctx context.Context, job *work.Job, from caller) (uint64, string, error) {
	maybeStored := false
	for {
		err := s.confirm(from, job.Queue)
		if err != nil && !maybeStored {
			return 0, "", err
		}
		version, via, err := s.storeJobOnce(ctx, job)
		if err == nil || fault.IsKind(err, fault.KeyReused) {
			return version, via, err
		}
		notStored := fault.As(err).Outcome() == fault.NotRun
		maybeStored = maybeStored || !notStored
		if !maybeStored {
			return 0, "", fault.Wrap(fault.PlatformUnavailable, err, "job not stored: neither the store nor the leader accepted it").WithRetryAfter(retryAfter)
		}
		unreachable := notStored && s.storeUnavailable.Load()
		if unreachable || !sleep(ctx, submitRetryDelay) {
			return 0, "", fault.Wrap(fault.OutcomeUnknown, err, "job %s may or may not be stored; send it again", job.ID)
		}
	}
}

// storeJobOnce stores the job directly and forwards it to the leader if that fails. While the store is slow it is
// forwarded first: each partition then handles only a few transactions a second, and the leader writes the jobs of all
// entries in common transactions.
func (s *Entry) storeJobOnce(ctx context.Context, job *work.Job) (uint64, string, error) {
	if s.storeUnavailable.Load() || s.submissions.Latency() > slowStoreLatency {
		version, err := s.forwardJob(ctx, job)
		if err == nil || fault.As(err).Outcome() != fault.NotRun || s.storeUnavailable.Load() {
			return version, viaLeader, err
		}
	}
	stored, err := s.submissions.Submit(ctx, job)
	if err == nil {
		s.notifyLeader(stored)
		return stored.Version, viaStore, nil
	}
	if fault.As(err).Outcome() != fault.NotRun || fault.IsKind(err, fault.KeyReused) {
		return 0, viaStore, err
	}
	forwardedVersion, forwardErr := s.forwardJob(ctx, job)
	if forwardErr == nil || fault.As(forwardErr).Outcome() != fault.NotRun {
		return forwardedVersion, viaLeader, forwardErr
	}
	return 0, "", err
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// failQuery logs a failed request about a job or a queue and writes the error response; name is the job's ID or the
// queue's name.
func (s *Entry) failQuery(ctx *fasthttp.RequestCtx, call, name, via string, err error) {
	if fault.IsKind(err, fault.NotExist) {
		s.Log.Write(event.JobUnknown, event.Fields{"job": name, "call": call, "via": via})
		writeError(ctx, err)
		return
	}
	s.Log.Write(event.CallUnanswered, event.Fields{
		"job": name, "call": call, "kind": fault.As(err).Kind().String(), "reason": err.Error(), "leader": s.currentLeader().Holder,
	})
	writeError(ctx, err)
}

func (s *Entry) serveState(callCtx context.Context, ctx *fasthttp.RequestCtx, from caller, id string) {
	state, via, err := s.jobState(callCtx, from.access, id)
	if err != nil {
		s.failQuery(ctx, callState, id, via, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(platform.EncodeState(state))
}

func (s *Entry) serveCancel(callCtx context.Context, ctx *fasthttp.RequestCtx, from caller, id string) {
	began := time.Now()
	via, err := s.cancelJob(callCtx, from.access, id)
	if err != nil {
		s.failQuery(ctx, callCancel, id, via, err)
		return
	}
	s.Log.Write(event.CancelStored, event.Fields{"job": id, "via": via, "took_ms": time.Since(began).Milliseconds()})
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

func (s *Entry) servePending(callCtx context.Context, ctx *fasthttp.RequestCtx, q *queue.Queue) {
	pending, via, err := s.pendingJobs(callCtx, q.Name)
	if err != nil {
		s.failQuery(ctx, callPending, q.Name, via, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(platform.EncodePending(pending))
}
