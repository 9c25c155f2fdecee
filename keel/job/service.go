package job

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// maxCancelAttempts limits the attempts to cancel a job whose row is changed concurrently.
const maxCancelAttempts = 8

// maxReadKeys limits the rows in one read of the table.
const maxReadKeys = 256

// maxListed limits the jobs that List returns.
const maxListed = 500

// Service submits, reads, cancels and lists jobs for callers; its methods are safe for concurrent use.
type Service struct {
	Client *platform.Client
	Log    *event.Log
	// Notify notifies the holder of the pool's duty that job rows of the pool have changed.
	Notify func(pool string)
	// SizesCurrent reports whether the instance sizes are known to be up to date; nil means that they always are.
	SizesCurrent func() bool

	// instanceSizes is nil until SetInstanceSizes is called.
	instanceSizes atomic.Pointer[InstanceSizes]
	once          sync.Once
	commits       *commitQueue
	rowReader     *platform.Reader
}

func (s *Service) initialise() {
	s.commits = &commitQueue{client: s.Client}
	s.rowReader = &platform.Reader{Client: s.Client, Timeout: callTimeout, MaxKeys: maxReadKeys, BatchDelay: batchDelay}
}

func (s *Service) commitQueue() *commitQueue {
	s.once.Do(s.initialise)
	return s.commits
}

func (s *Service) reader() *platform.Reader {
	s.once.Do(s.initialise)
	return s.rowReader
}

// SetInstanceSizes sets the instance sizes against which Submit checks jobs.
func (s *Service) SetInstanceSizes(sizes *InstanceSizes) { s.instanceSizes.Store(sizes) }

// Submit stores the job as queued and returns it; if the same job was submitted before, it returns the stored one.
// It fails with kind JobNeverFits if the job fits on no instance that its pool has or could get, with NotReady if that
// isn't known, and with KeyReused if the ID belongs to another job.
func (s *Service) Submit(ctx context.Context, job Record) (Record, error) {
	err := s.checkSize(job)
	if err != nil {
		return job, err
	}
	job.State = Queued
	job.Submitted = time.Now().UTC()
	result := s.commitQueue().submit(ctx, &change{
		condition: platform.Condition{Key: job.Key()},
		write:     rowset.Write(job.Key(), job),
		urgent:    job.Urgent,
	})
	if result.currentRow.Version != 0 {
		return existing(job, result.currentRow)
	}
	if result.err != nil {
		return job, result.err
	}
	s.Log.Write(event.JobAccepted, event.Fields{"job": job.ID, "size": sizeText(job.Size)})
	s.Notify(job.Pool)
	return job, nil
}

func (s *Service) checkSize(job Record) error {
	// The sizes may be replaced by newer ones after the check.
	current := s.SizesCurrent == nil || s.SizesCurrent()
	err := s.instanceSizes.Load().Check(job.Pool, job.Size)
	if err != nil && !current {
		return fault.Wrap(fault.NotReady, err, "no instance known that fits the job, and the inventory of this entry may be out of date").WithRetryAfter(time.Second)
	}
	return err
}

// existing returns the stored job in row if job is a retry of its submission.
func existing(job Record, row platform.Row) (Record, error) {
	var found Record
	err := json.Unmarshal(row.Value, &found)
	if err != nil {
		return job, fault.Wrap(fault.Internal, err, "decode the job's row")
	}
	if found.Digest != job.Digest {
		return job, fault.New(fault.KeyReused, "job %s was submitted with another body", job.ID)
	}
	return found, nil
}

// Get returns the pool's job and fails with kind NotExist if there is none.
func (s *Service) Get(ctx context.Context, pool, id string) (Record, error) {
	job, _, err := s.get(ctx, pool, id)
	return job, err
}

func (s *Service) get(ctx context.Context, pool, id string) (Record, uint64, error) {
	var job Record
	rows, err := s.reader().Get(ctx, Key(pool, id))
	if err != nil {
		return job, 0, err
	}
	row := rows[0]
	if row.Version == 0 {
		return job, 0, fault.New(fault.NotExist, "job %s", id)
	}
	err = json.Unmarshal(row.Value, &job)
	if err != nil {
		return job, 0, fault.Wrap(fault.Internal, err, "decode the job's row")
	}
	return job, row.Version, nil
}

// Cancel cancels a queued job at once and requests that a placed or running one be stopped; it doesn't change a job
// that has ended.
func (s *Service) Cancel(ctx context.Context, pool, id string) (Record, error) {
	job, version, err := s.get(ctx, pool, id)
	for range maxCancelAttempts {
		if err != nil || job.Ended() || job.CancelRequested {
			return job, err
		}
		next := withCancelRequest(job)
		result := s.commitQueue().submit(ctx, &change{
			condition: platform.Condition{Key: job.Key(), Version: version},
			write:     rowset.Write(job.Key(), next),
		})
		if result.err == nil {
			s.Notify(pool)
			return next, nil
		}
		if !fault.IsKind(result.err, fault.Conflict) {
			return job, result.err
		}
		// The scheduler or another caller changed the row concurrently: retry with the stored version.
		job, version, err = s.get(ctx, pool, id)
	}
	return job, fault.New(fault.Overloaded, "job %s was changed concurrently during each attempt to cancel it", id).WithRetryAfter(time.Second)
}

// withCancelRequest returns the job with its cancellation requested, and cancelled if it is queued.
func withCancelRequest(job Record) Record {
	job.CancelRequested = true
	if job.State == Queued {
		job.State = Cancelled
		job.Reason = "cancelled by its caller before it was placed"
		job.Finished = time.Now().UTC()
	}
	return job
}

// List returns jobs of the service in the order of their last change, at most limit and never more than maxListed; a
// limit of 0 stands for maxListed.
func (s *Service) List(ctx context.Context, pool, service string, limit int) ([]Record, error) {
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	jobs := []Record{}
	request := platform.ScanRequest{Prefix: Key(pool, service) + "/", Limit: limit}
	for {
		result, err := s.Client.Scan(ctx, request)
		if err != nil {
			return nil, err
		}
		for _, row := range result.Rows {
			var job Record
			if row.Deleted() || json.Unmarshal(row.Value, &job) != nil {
				continue
			}
			jobs = append(jobs, job)
		}
		if !result.More || len(jobs) >= limit {
			return jobs[:min(limit, len(jobs))], nil
		}
		request.After = result.Through
	}
}
