package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

// Service claims idempotency keys in the platform's table; its methods are safe for concurrent use.
type Service struct {
	Batcher *Batcher
	// Incarnation identifies this run of the entry's process.
	Incarnation string
	// LeaseValid reports whether the entry's lease has certainly not expired; nil means always.
	LeaseValid func() bool
	// QueryHolder queries the holder of a claim for the state of the request; nil means that peers can't be queried.
	QueryHolder func(ctx context.Context, request HolderQuery) (HolderResponse, error)

	mu     sync.Mutex
	active map[string]*activeRequest
	// arrivalWaiters holds, by row key, the channels to close when a request with the key arrives.
	arrivalWaiters map[string][]chan struct{}
}

// Request is a request to claim.
type Request struct {
	// Service is "partner/service".
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Digest is a hash of the request; another request under the same key has a different one.
	Digest uint64
}

// Ticket is a claim that this entry holds; its outcome must be given to Finish, FinishUnknown or Release.
type Ticket struct {
	key     string
	version uint64
	record  Record
	request *activeRequest
}

// Source is the place from which the response to a repeated request was read.
type Source string

// The sources of a response.
const (
	FromRow    Source = "row"
	FromMemory Source = "memory"
	FromHolder Source = "holder"
)

// RecordedResponse is the response of an earlier request with the key.
type RecordedResponse struct {
	Response
	Source Source
}

// Begin claims the key of the request.
// It returns a ticket if the request is to be sent now, or the recorded response of the earlier request.
// It fails with kind OutcomeUnknown if an earlier request was sent and its outcome isn't recorded, with KeyReused if
// the key belongs to a different request, with ResponseNotStored if the earlier response was too large to be recorded,
// and with PlatformUnavailable if the key can't be claimed.
func (s *Service) Begin(ctx context.Context, request Request) (*Ticket, *RecordedResponse, error) {
	key := Key(request.Service, request.Key)
	for {
		created, existing := s.activate(key, request.Digest)
		if existing == nil {
			return s.claimKey(ctx, key, created)
		}
		recorded, again, err := s.awaitActive(ctx, existing, request.Digest)
		if !again {
			return nil, recorded, err
		}
	}
}

// claimKey commits the claim row of a request that was just added to s.active.
func (s *Service) claimKey(ctx context.Context, key string, created *activeRequest) (*Ticket, *RecordedResponse, error) {
	record := Record{Holder: s.Incarnation, State: Claimed, Digest: created.digest, UnixMillis: time.Now().UnixMilli()}
	version := uint64(0)
	for {
		result, err := s.commitClaim(ctx, key, version, record)
		if err == nil {
			return s.issueTicket(ctx, &Ticket{key: key, version: result.version, record: record, request: created})
		}
		if len(result.conflicts) == 0 {
			s.finishNotClaimed(key, created, outcomeNotRun, nil)
			return nil, nil, err
		}
		found := result.conflicts[0]
		free, recorded, err := s.resolveExisting(ctx, found, record.Digest)
		if !free {
			s.finishNotClaimed(key, created, outcomeNotRun, nil)
			return nil, recorded, err
		}
		version = found.Version
	}
}

// issueTicket returns the ticket, or releases the claim if the deadline has passed or the lease may have expired.
func (s *Service) issueTicket(ctx context.Context, ticket *Ticket) (*Ticket, *RecordedResponse, error) {
	if ctx.Err() != nil {
		s.Release(ticket)
		return nil, nil, fault.New(fault.DeadlineExceeded, "the key was claimed after the deadline; request not sent")
	}
	if s.LeaseValid != nil && !s.LeaseValid() {
		s.Release(ticket)
		return nil, nil, fault.New(fault.NotReady, "this entry's lease may have expired; request not sent").WithRetryAfter(time.Second)
	}
	return ticket, nil, nil
}

// resolveExisting returns true if the key of an existing claim row may be claimed, and otherwise the recorded response
// of its request or an error.
func (s *Service) resolveExisting(ctx context.Context, row platform.Row, digest uint64) (bool, *RecordedResponse, error) {
	if row.Version == 0 {
		return true, nil, nil
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		return false, nil, err
	}
	if found.Digest != digest {
		return false, nil, fault.New(fault.KeyReused, "the key was used for another request")
	}
	switch {
	case found.State == Done:
		recorded, err := newRecordedResponse(found.Response, FromRow)
		return false, recorded, err
	case found.State == OutcomeUnknown:
		return false, nil, outcomeUnknownError("the earlier request with the key was sent and its outcome is unknown")
	case found.Holder == s.Incarnation:
		// s.active holds only this request for the key, so the row is from a claim whose commit had an unknown outcome;
		// its request was rejected without being sent.
		return true, nil, nil
	}
	return s.awaitHolder(ctx, HolderQuery{Key: row.Key, Holder: found.Holder})
}

func newRecordedResponse(response *Response, source Source) (*RecordedResponse, error) {
	if response.BodyOmitted {
		return nil, fault.New(fault.ResponseNotStored, "the request ran with status %d; its response was too large to be recorded", response.Status)
	}
	return &RecordedResponse{Response: *response, Source: source}, nil
}

func outcomeUnknownError(text string) error { return fault.New(fault.OutcomeUnknown, "%s", text) }

// Finish records that the request ran, with headers and body of its response if they have at most limit bytes; it
// doesn't wait for the commit.
func (s *Service) Finish(ticket *Ticket, response Response, limit int) {
	limited := response.limitSize(limit)
	ticket.record.State = Done
	ticket.record.Response = &limited
	s.commitOutcome(ticket, outcomeDone, &response)
}

// FinishUnknown records that the request was sent and its outcome is unknown; it doesn't wait for the commit.
func (s *Service) FinishUnknown(ticket *Ticket) {
	ticket.record.State = OutcomeUnknown
	s.commitOutcome(ticket, outcomeUnknown, nil)
}

// Release frees the key of a request that did not run; it doesn't wait for the commit.
func (s *Service) Release(ticket *Ticket) {
	s.setOutcome(ticket.request, outcomeNotRun, nil)
	s.Batcher.submit(&change{
		retry:      true,
		conditions: []platform.Condition{{Key: ticket.key, Version: ticket.version}},
		writes:     []platform.Write{{Key: ticket.key}},
		done:       func(changeResult) { s.removeActive(ticket.key, ticket.request) },
	})
}

// commitOutcome queues the commit of the outcome; until it is committed, repeated requests are served from memory.
func (s *Service) commitOutcome(ticket *Ticket, state outcome, response *Response) {
	s.setOutcome(ticket.request, state, response)
	value, _ := json.Marshal(ticket.record)
	s.Batcher.submit(&change{
		retry:      true,
		conditions: []platform.Condition{{Key: ticket.key, Version: ticket.version}},
		writes:     []platform.Write{{Key: ticket.key, Value: value}},
		done:       func(changeResult) { s.removeActive(ticket.key, ticket.request) },
	})
}

// commitClaim commits the row of a claim and waits for the result; when ctx ends, it cancels a change that isn't in a
// transaction yet.
func (s *Service) commitClaim(ctx context.Context, key string, version uint64, record Record) (changeResult, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return changeResult{}, fault.Wrap(fault.Internal, err, "encode claim")
	}
	done := make(chan changeResult, 1)
	c := &change{
		conditions: []platform.Condition{{Key: key, Version: version}},
		writes:     []platform.Write{{Key: key, Value: value}},
		done:       func(r changeResult) { done <- r },
	}
	s.Batcher.submit(c)
	select {
	case result := <-done:
		return result, asNotRun(result.err)
	case <-ctx.Done():
		s.Batcher.cancel(c)
		// If the change is in a transaction already, its result comes within commitTimeout.
		result := <-done
		return result, asNotRun(result.err)
	}
}

// asNotRun sets outcome not_run on the error of a failed claim, since a request is sent only after its claim is known
// to be committed; a conflict is returned as it is.
func asNotRun(err error) error {
	if err == nil || fault.IsKind(err, fault.Conflict) {
		return err
	}
	failure := fault.As(err).WithOutcome(fault.NotRun)
	if failure.RetryAfter() == 0 {
		failure = failure.WithRetryAfter(probeInterval)
	}
	return failure
}
