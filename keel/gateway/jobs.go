package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/respond"
	"samphirekeel.example/keel/route"
)

// jobRequestTimeout is the timeout of a request that concerns jobs.
const jobRequestTimeout = 5 * time.Second

// Jobs serves the callers' requests that concern jobs.
type Jobs struct {
	Service *job.Service
	Router  *route.Router
	Log     *event.Log
	// Hold holds memory for a number of bytes until the response to the request has been written, and fails with kind Overloaded if
	// there is none; nil holds nothing.
	Hold func(ctx *fasthttp.RequestCtx, bytes int64) error
}

// jobCopies is how often the body of a submission is held besides itself: decoded, as a row, and in the transaction with that.
const jobCopies = 6

// Submission is the body of a request that submits a job.
type Submission struct {
	Size           platform.Size   `json:"size"`
	Repeatable     bool            `json:"repeatable"`
	Checkpointable bool            `json:"checkpointable"`
	Urgent         bool            `json:"urgent"`
	Work           json.RawMessage `json:"work,omitempty"`
}

// Handle serves POST and GET /jobs/partner/service and GET and DELETE /jobs/partner/service/key.
func (j *Jobs) Handle(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(context.Background(), jobRequestTimeout)
	defer cancel()
	value, err := j.dispatch(callCtx, ctx)
	if err == nil {
		respond.JSON(ctx, value)
		return
	}
	failure := fault.As(err)
	j.Log.Write(event.EntryRequestFailed, event.Fields{
		"request": string(ctx.Response.Header.Peek(HeaderRequestID)), "kind": failure.Kind().String(),
		"outcome": string(failure.Outcome()), "reason": err.Error(),
	})
	respond.Problem(ctx, failure)
}

func (j *Jobs) dispatch(callCtx context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	if len(parts) < 3 || len(parts) > 4 {
		return nil, fault.New(fault.NotExist, "path %s is not /jobs/partner/service or /jobs/partner/service/key", ctx.Path())
	}
	name := parts[1] + "/" + parts[2]
	service, err := j.Router.Find(name)
	if err != nil {
		return nil, err
	}
	pool := string(service.Path.Parent())
	hasKey := len(parts) == 4
	switch {
	case ctx.IsPost() && !hasKey:
		return j.submit(callCtx, ctx, service, name)
	case ctx.IsGet() && !hasKey:
		limit, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("limit")))
		return j.Service.List(callCtx, pool, name, limit)
	case ctx.IsGet():
		return j.Service.Get(callCtx, pool, name+"/"+parts[3])
	case ctx.IsDelete() && hasKey:
		return j.Service.Cancel(callCtx, pool, name+"/"+parts[3])
	}
	return nil, fault.New(fault.NotExist, "%s %s", ctx.Method(), ctx.Path())
}

func (j *Jobs) submit(callCtx context.Context, ctx *fasthttp.RequestCtx, service *route.Service, name string) (any, error) {
	if j.Hold != nil {
		err := j.Hold(ctx, jobCopies*int64(len(ctx.Request.Body())))
		if err != nil {
			return nil, err
		}
	}
	var submission Submission
	err := json.Unmarshal(ctx.Request.Body(), &submission)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "cannot parse job: %v", err)
	}
	err = submission.check()
	if err != nil {
		return nil, err
	}
	key, err := jobKey(ctx)
	if err != nil {
		return nil, err
	}
	return j.Service.Submit(callCtx, job.Record{
		ID: name + "/" + key, Service: string(service.Path), Pool: string(service.Path.Parent()),
		Size: submission.Size, Repeatable: submission.Repeatable, Checkpointable: submission.Checkpointable,
		Urgent: submission.Urgent, Work: submission.Work, Digest: xxhash.Sum64(ctx.Request.Body()),
	})
}

const (
	// maxSize bounds each dimension of a size, so that sums of sizes can't overflow.
	maxSize = 1_000_000_000
	// maxWorkDepth bounds the nesting of the task specification, which is stored and sent inside other JSON messages. Decoders
	// of JSON limit the nesting of a whole message.
	maxWorkDepth = 64
)

// check fails with kind BadRequest for a size without cores or memory, with a negative number of accelerators or out of range,
// and for a task specification that is nested too deeply.
func (s *Submission) check() error {
	size := s.Size
	if size.MilliCores <= 0 || size.MemoryMB <= 0 || size.Accelerators < 0 {
		return fault.New(fault.BadRequest, "size: milli_cores and memory_mb must be positive and accelerators not negative")
	}
	if max(size.MilliCores, size.MemoryMB, size.Accelerators) > maxSize {
		return fault.New(fault.BadRequest, "size: milli_cores, memory_mb and accelerators must be at most %d", maxSize)
	}
	if workDepth(s.Work) > maxWorkDepth {
		return fault.New(fault.BadRequest, "work: more than %d arrays and objects inside each other", maxWorkDepth)
	}
	return nil
}

// workDepth returns how deeply the arrays and objects of valid JSON are nested, at most maxWorkDepth+1.
func workDepth(data json.RawMessage) int {
	decoder := json.NewDecoder(bytes.NewReader(data))
	depth, deepest := 0, 0
	for deepest <= maxWorkDepth {
		token, err := decoder.Token()
		if err != nil {
			// The end of the data.
			break
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
			deepest = max(deepest, depth)
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
	}
	return deepest
}

// jobKey returns the caller's idempotency key, or a new one for a caller that sends none.
func jobKey(ctx *fasthttp.RequestCtx) (string, error) {
	key := string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if key == "" {
		return uuid.NewString(), nil
	}
	if len(key) > maxKeyLength || strings.ContainsAny(key, "/#") {
		return "", fault.New(fault.BadRequest, "%s: at most %d characters, none of them / or #", HeaderIdempotencyKey, maxKeyLength)
	}
	return key, nil
}
