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

// cancelAttempts bounds how often a cancel is tried against a row that changes meanwhile.
const cancelAttempts = 8

// readBatch bounds the rows in one read of the table.
const readBatch = 256

// listLimit bounds the jobs in one answer to a list.
const listLimit = 500

// Service takes in jobs for callers; its methods are safe for concurrent use.
type Service struct {
	Client *platform.Client
	Log    *event.Log
	// Notify tells the holder of the pool's duty that rows of the pool have changed.
	Notify func(pool string)

	shapes  atomic.Pointer[InstanceSizes]
	once    sync.Once
	changes *inbox
	reads   *platform.Reader
}

func (s *Service) start() {
	s.changes = &inbox{client: s.Client}
	s.reads = &platform.Reader{Client: s.Client, Timeout: callTimeout, MaxKeys: readBatch, Gather: gatherTime}
}

func (s *Service) inbox() *inbox {
	s.once.Do(s.start)
	return s.changes
}

func (s *Service) reader() *platform.Reader {
	s.once.Do(s.start)
	return s.reads
}

// SetInstanceSizes sets the sizes of the instances that the pools have or could have.
func (s *Service) SetInstanceSizes(shapes *InstanceSizes) { s.shapes.Store(shapes) }

// Submit writes the job as queued; a job with the same name that was taken in before is returned as it is.
// It fails with kind JobNeverFits for a job that no instance could hold, and with KeyReused if the name was used
// for another job.
func (s *Service) Submit(ctx context.Context, job Record) (Record, error) {
	err := s.shapes.Load().Check(job.Pool, job.Size)
	if err != nil {
		return job, err
	}
	job.State = Queued
	job.Submitted = time.Now().UTC()
	result := s.inbox().do(ctx, &change{
		condition: platform.Condition{Key: job.Key()},
		write:     rowset.Write(job.Key(), job),
		urgent:    job.Urgent,
	})
	if result.present.Version != 0 {
		return existing(job, result.present)
	}
	if result.err != nil {
		return job, result.err
	}
	s.Log.Write(event.JobAccepted, event.Fields{"job": job.ID, "size": sizeText(job.Size)})
	s.Notify(job.Pool)
	return job, nil
}

// existing returns the job that was taken in before under the same name.
func existing(job Record, row platform.Row) (Record, error) {
	var found Record
	err := json.Unmarshal(row.Value, &found)
	if err != nil {
		return job, fault.Wrap(fault.Internal, err, "job row")
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
		return job, 0, fault.Wrap(fault.Internal, err, "job row")
	}
	return job, row.Version, nil
}

// Cancel ends a queued job at once and asks for a started one to be stopped; a job that has ended stays as it is.
func (s *Service) Cancel(ctx context.Context, pool, id string) (Record, error) {
	job, version, err := s.get(ctx, pool, id)
	for range cancelAttempts {
		if err != nil || job.Ended() || job.CancelAsked {
			return job, err
		}
		next := cancelled(job)
		result := s.inbox().do(ctx, &change{
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
		// The placement of the job went on meanwhile.
		job, version, err = s.get(ctx, pool, id)
	}
	return job, fault.New(fault.Overloaded, "job %s changes faster than it can be cancelled", id).After(time.Second)
}

// cancelled returns the record of a job whose end was asked for.
func cancelled(job Record) Record {
	job.CancelAsked = true
	if job.State == Queued {
		job.State = Cancelled
		job.Reason = "cancelled by its caller before it was placed"
		job.Finished = time.Now().UTC()
	}
	return job
}

// List returns jobs of the service, in the order of their last change, at most limit and listLimit.
func (s *Service) List(ctx context.Context, pool, service string, limit int) ([]Record, error) {
	if limit <= 0 || limit > listLimit {
		limit = listLimit
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
