package platform

import (
	"context"

	"samphirekeel.example/keel/fault"
)

// Methods of the platform's service.
const (
	MethodCommit     = "table/commit"
	MethodScan       = "table/scan"
	MethodGet        = "table/get"
	MethodPutObject  = "objects/put"
	MethodGetObject  = "objects/get"
	MethodList       = "instances/list"
	MethodDrain      = "instances/drain"
	MethodReboot     = "instances/reboot"
	MethodRestore    = "instances/restore"
	MethodStart      = "tasks/start"
	MethodRenew      = "tasks/renew"
	MethodRenewTasks = "tasks/renew_many"
	MethodStop       = "tasks/stop"
	MethodThrottle   = "tasks/throttle"
	MethodCheckpoint = "tasks/checkpoint"
	MethodUsage      = "tasks/usage"
)

// commitAttempts is the maximum number of times that Commit sends a transaction and reads its rows back.
const commitAttempts = 3

// Client calls the platform's service; all its methods are safe for concurrent use.
type Client struct {
	// Call calls one method of the service and decodes the response into out.
	Call func(ctx context.Context, method string, in, out any) error
}

// Commit runs a transaction; if a response is lost, it reads the written rows and looks for the transaction's token.
// It fails with kind Conflict if a condition didn't hold, and with PlatformUnavailable and outcome not_run if the
// transaction had no effect, or outcome unknown if that can't be determined yet.
func (c *Client) Commit(ctx context.Context, txn Txn) (CommitResult, error) {
	var result CommitResult
	sentBefore := false
	for range commitAttempts {
		var response CommitResult
		err := c.Call(ctx, MethodCommit, txn, &response)
		if err == nil && response.Committed {
			return response, nil
		}
		if err == nil {
			return c.resolveConflict(ctx, txn, response, sentBefore)
		}
		if fault.As(err).Outcome() == fault.NotRun && !sentBefore {
			return result, err
		}
		sentBefore = true
		result, err = c.readBack(ctx, txn)
		if err == nil {
			return result, nil
		}
	}
	return result, fault.New(fault.PlatformUnavailable, "response to transaction lost").WithOutcome(fault.Unknown)
}

// resolveConflict distinguishes a transaction whose condition failed from one whose earlier attempt was committed but
// whose response was lost.
func (c *Client) resolveConflict(ctx context.Context, txn Txn, response CommitResult, sentBefore bool) (CommitResult, error) {
	if sentBefore {
		result, err := c.readBack(ctx, txn)
		if err == nil {
			return result, nil
		}
	}
	conflict := fault.New(fault.Conflict, "a condition of the transaction does not hold")
	if sentBefore {
		// An earlier attempt may have been committed and its rows overwritten since.
		return response, conflict.WithOutcome(fault.Unknown)
	}
	return response, conflict
}

// readBack returns the result of a committed transaction if a row that it wrote still has its token, else kind
// NotExist.
func (c *Client) readBack(ctx context.Context, txn Txn) (CommitResult, error) {
	keys := make([]string, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		keys = append(keys, write.Key)
	}
	rows, err := c.Get(ctx, keys...)
	if err != nil {
		return CommitResult{}, err
	}
	for _, row := range rows {
		if row.Token == txn.Token {
			return CommitResult{Committed: true, Version: row.Version}, nil
		}
	}
	return CommitResult{}, fault.New(fault.NotExist, "no row carries token %s", txn.Token)
}

// Resolve determines the result of a transaction after Commit has returned outcome unknown.
// It fails with kind NotExist if no row has the transaction's token: the transaction has not taken effect, or every row
// that it wrote was overwritten or deleted since. It may still take effect as long as its conditions hold.
func (c *Client) Resolve(ctx context.Context, txn Txn) (CommitResult, error) {
	return c.readBack(ctx, txn)
}

// Get reads rows by key, in the order of the keys; a row that doesn't exist has version 0.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var result GetResult
	err := c.Call(ctx, MethodGet, GetRequest{Keys: keys}, &result)
	return result.Rows, err
}

// Scan reads the rows under a prefix that were written after a version.
func (c *Client) Scan(ctx context.Context, request ScanRequest) (ScanResult, error) {
	return call[ScanResult](ctx, c, MethodScan, request)
}

// PutObject writes an object.
func (c *Client) PutObject(ctx context.Context, object Object) error {
	return c.Call(ctx, MethodPutObject, object, &Empty{})
}

// GetObject reads an object; it fails with kind NotExist if the object doesn't exist.
func (c *Client) GetObject(ctx context.Context, key string) (Object, error) {
	return call[Object](ctx, c, MethodGetObject, Object{Key: key})
}

// List reads the changed listings of a data centre's instance list.
func (c *Client) List(ctx context.Context, request ListRequest) (ListResult, error) {
	return call[ListResult](ctx, c, MethodList, request)
}

// Drain marks an instance as leaving.
func (c *Client) Drain(ctx context.Context, request InstanceRequest) error {
	return c.Call(ctx, MethodDrain, request, &Empty{})
}

// Reboot reboots an instance.
func (c *Client) Reboot(ctx context.Context, request InstanceRequest) error {
	return c.Call(ctx, MethodReboot, request, &Empty{})
}

// Restore marks a draining instance as live again.
func (c *Client) Restore(ctx context.Context, request InstanceRequest) error {
	return c.Call(ctx, MethodRestore, request, &Empty{})
}

// Start starts a task on a worker.
func (c *Client) Start(ctx context.Context, request StartRequest) error {
	return c.Call(ctx, MethodStart, request, &Empty{})
}

// Renew renews the lease of a task.
func (c *Client) Renew(ctx context.Context, request TaskRequest) error {
	return c.Call(ctx, MethodRenew, request, &Empty{})
}

// RenewTasks renews the leases of many tasks and returns which of them were renewed.
func (c *Client) RenewTasks(ctx context.Context, request RenewRequest) (RenewResult, error) {
	return call[RenewResult](ctx, c, MethodRenewTasks, request)
}

// Stop stops a task.
func (c *Client) Stop(ctx context.Context, request TaskRequest) error {
	return c.Call(ctx, MethodStop, request, &Empty{})
}

// Throttle limits the processor capacity of a task.
func (c *Client) Throttle(ctx context.Context, request TaskRequest) error {
	return c.Call(ctx, MethodThrottle, request, &Empty{})
}

// Checkpoint orders a task to write a checkpoint; the task's report names the checkpoint once it is written.
func (c *Client) Checkpoint(ctx context.Context, request TaskRequest) error {
	return c.Call(ctx, MethodCheckpoint, request, &Empty{})
}

// Usage reads the changed task reports of a data centre.
func (c *Client) Usage(ctx context.Context, request UsageRequest) (UsageResult, error) {
	return call[UsageResult](ctx, c, MethodUsage, request)
}

func call[T any](ctx context.Context, c *Client, method string, in any) (T, error) {
	var out T
	err := c.Call(ctx, method, in, &out)
	return out, err
}
