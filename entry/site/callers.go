package site

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/platform"
)

const (
	// maxBodyBytes bounds a request's body before its queue's limits are known.
	maxBodyBytes = 4 << 20
	// idleTimeout is how long a caller's connection may be unused.
	idleTimeout = 60 * time.Second
	// readTimeout bounds the reading of a request once its first byte has come.
	readTimeout = 10 * time.Second
	// defaultBudget is how long a caller is taken to wait that doesn't say.
	defaultBudget = 3 * time.Second
	// answerMargin is the part of the caller's time that is left for the answer's way.
	answerMargin = 60 * time.Millisecond
	// slowStore is the time of a transaction, usually 20 ms, from which the leader gathers the jobs of all entries.
	slowStore = 150 * time.Millisecond
	// storePause is the time between two tries.
	storePause = 40 * time.Millisecond
	// viaStore and viaLeader name in the log who answered.
	viaStore  = "store"
	viaLeader = "leader"
	// comeBack is when a caller is told to return that another entry may serve sooner.
	comeBack = time.Second
)

// serveCaller answers one request of a caller and counts it.
func (s *Site) serveCaller(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	call := s.answerCaller(ctx)
	s.requests.observe(call, ctx.Response.StatusCode(), time.Since(began))
}

// answerCaller answers one request of a caller and returns the call's name in the metrics.
func (s *Site) answerCaller(ctx *fasthttp.RequestCtx) string {
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	config := s.config.Load()
	if config == nil {
		refuse(ctx, fault.New(fault.NotReady, "this entry has no configuration yet").WithRetryAfter(comeBack))
		return callOther
	}
	path := string(ctx.Path())
	q := config.QueueForRequest(string(ctx.Host()), path)
	if q == nil {
		refuse(ctx, fault.New(fault.UnknownService, "no queue at %s%s", ctx.Host(), path))
		return callOther
	}
	id := strings.TrimPrefix(path, q.Prefix)
	budget := platform.CallerTimeout(&ctx.Request.Header)
	if budget == 0 {
		budget = defaultBudget
	}
	if q.Timeout > 0 {
		budget = min(budget, q.Timeout)
	}
	c, cancel := context.WithTimeout(context.Background(), max(answerMargin, budget-answerMargin))
	defer cancel()
	switch {
	case ctx.IsGet() && id == "":
		s.servePending(c, ctx, q)
		return callPending
	case !work.ValidID(id):
		refuse(ctx, fault.New(fault.BadRequest, "%q is not a job's ID of 16 hexadecimal digits", id))
	case ctx.IsPost():
		s.serveSubmission(c, ctx, config, q, id)
		return callSubmit
	case ctx.IsGet():
		s.serveState(c, ctx, id)
		return callState
	case ctx.IsDelete():
		s.serveCancel(c, ctx, id)
		return callCancel
	default:
		refuse(ctx, fault.New(fault.BadRequest, "method %s", ctx.Method()))
	}
	return callOther
}

// refuse answers with an error.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	failure := fault.As(err)
	ctx.Response.Reset()
	ctx.SetStatusCode(platform.HTTPStatus(failure.Kind()))
	if failure.RetryAfter() > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, failure.RetryAfterHeader())
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":` + strconv.Quote(failure.Text()) + `}`)
}

func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	refuse(ctx, fault.Wrap(fault.BadRequest, err, "request can't be read"))
}

func (s *Site) serveSubmission(c context.Context, ctx *fasthttp.RequestCtx, config *queue.Config, q *queue.Queue, id string) {
	body := ctx.PostBody()
	if config.Limits.BodyBytes > 0 && len(body) > config.Limits.BodyBytes {
		s.refuseJob(ctx, id, fault.New(fault.TooLarge, "submission of %d bytes, at most %d", len(body), config.Limits.BodyBytes))
		return
	}
	job, err := platform.DecodeJob(id, q.Name, body)
	if err == nil {
		err = s.submit(c, job)
	}
	if err != nil {
		s.refuseJob(ctx, id, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// submit checks and stores a job and tells the leader of it.
func (s *Site) submit(c context.Context, job *work.Job) error {
	err := job.Check()
	if err != nil {
		return err
	}
	job.Accepted = s.Wall().Milliseconds()
	if !job.LongRunning() {
		job.Home = s.Settings.DataCentre
	}
	began := time.Now()
	version, via, err := s.accept(c, job)
	if err != nil {
		return err
	}
	s.tell(job, version)
	s.Log.Write(event.JobStored, event.Fields{
		"job": job.ID, "queue": job.Queue, "data_centre": s.Settings.DataCentre, "version": version, "via": via,
		"took_ms": time.Since(began).Milliseconds(),
	})
	return nil
}

func (s *Site) refuseJob(ctx *fasthttp.RequestCtx, id string, err error) {
	failure := fault.As(err)
	s.Log.Write(event.JobRefused, event.Fields{"job": id, "kind": failure.Kind().String(), "outcome": string(failure.Outcome()), "reason": err.Error()})
	refuse(ctx, err)
}

// accept stores the job and returns its version in the store and who stored it, which is the leader where the store
// doesn't answer this entry. While the job may have been stored it is tried again, since only then is a refusal known
// to be true; without an answer in the caller's time, or where neither the store nor the leader can be reached any more,
// the outcome stays unknown.
func (s *Site) accept(c context.Context, job *work.Job) (uint64, string, error) {
	doubtful := false
	for {
		version, via, err := s.acceptOnce(c, job)
		if err == nil || fault.IsKind(err, fault.KeyReused) {
			return version, via, err
		}
		sure := fault.As(err).Outcome() == fault.NotRun
		doubtful = doubtful || !sure
		if !doubtful {
			return 0, "", fault.Wrap(fault.PlatformUnavailable, err, "the store takes no jobs from this entry").WithRetryAfter(comeBack)
		}
		nothingLeft := sure && s.storeLost.Load()
		if nothingLeft || !sleep(c, storePause) {
			return 0, "", fault.Wrap(fault.OutcomeUnknown, err, "whether job %s was taken in is not known; send it again", job.ID)
		}
	}
}

// acceptOnce stores the job itself, and else has the leader do so. While the store is slow the leader does it at once:
// it gathers the jobs of all entries, of which each part of the store takes a few transactions a second then.
func (s *Site) acceptOnce(c context.Context, job *work.Job) (uint64, string, error) {
	if s.storeLost.Load() || s.inbox.Latency() > slowStore {
		version, err := s.passOn(c, job)
		if err == nil || fault.As(err).Outcome() != fault.NotRun || s.storeLost.Load() {
			return version, viaLeader, err
		}
	}
	version, err := s.inbox.Submit(c, job)
	if err == nil || fault.As(err).Outcome() != fault.NotRun || fault.IsKind(err, fault.KeyReused) {
		return version, viaStore, err
	}
	passed, passErr := s.passOn(c, job)
	if passErr == nil || fault.As(passErr).Outcome() != fault.NotRun {
		return passed, viaLeader, passErr
	}
	return 0, "", err
}

// sleep waits and reports false if ctx ends first.
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

// refuseQuestion answers a question with an error; name is a job's ID or a queue's name.
func (s *Site) refuseQuestion(ctx *fasthttp.RequestCtx, call, name, via string, err error) {
	if fault.IsKind(err, fault.NotExist) {
		s.Log.Write(event.JobUnknown, event.Fields{"job": name, "call": call, "via": via})
		refuse(ctx, err)
		return
	}
	s.Log.Write(event.CallUnanswered, event.Fields{
		"job": name, "call": call, "kind": fault.As(err).Kind().String(), "reason": err.Error(), "leader": s.lease.Leader().Holder,
	})
	refuse(ctx, err)
}

func (s *Site) serveState(c context.Context, ctx *fasthttp.RequestCtx, id string) {
	state, via, err := s.stateOf(c, id)
	if err != nil {
		s.refuseQuestion(ctx, callState, id, via, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(platform.EncodeState(state))
}

func (s *Site) serveCancel(c context.Context, ctx *fasthttp.RequestCtx, id string) {
	began := time.Now()
	via, err := s.cancelJob(c, id)
	if err != nil {
		s.refuseQuestion(ctx, callCancel, id, via, err)
		return
	}
	s.Log.Write(event.CancelStored, event.Fields{"job": id, "via": via, "took_ms": time.Since(began).Milliseconds()})
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

func (s *Site) servePending(c context.Context, ctx *fasthttp.RequestCtx, q *queue.Queue) {
	pending, via, err := s.pendingOf(c, q.Name)
	if err != nil {
		s.refuseQuestion(ctx, callPending, q.Name, via, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(platform.EncodePending(pending))
}
