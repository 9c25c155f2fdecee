package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

// Service claims keys in the platform's table; its methods are safe for concurrent use.
type Service struct {
	Batcher *Batcher
	// Incarnation names this start of the entry.
	Incarnation string
	// LeaseValid reports whether the entry's lease is certain to hold still; nil stands for always.
	LeaseValid func() bool
	// QueryHolder asks the entry that holds a claim what became of the request; nil stands for no links to peers.
	QueryHolder func(ctx context.Context, request HolderQuery) (HolderResponse, error)

	mu      sync.Mutex
	flights map[string]*flight
	// arrivals holds those who wait for a key to arrive at this entry.
	arrivals map[string][]chan struct{}
}

// Request is a request to claim.
type Request struct {
	// Service is "partner/service".
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the request under the key.
	Digest uint64
}

// Ticket is a claim that this entry holds; its outcome must be given to Finish, Release or Lose.
type Ticket struct {
	key     string
	version uint64
	record  Record
	flight  *flight
}

// Source says where the answer to a repeated request comes from.
type Source string

// The sources of an answer.
const (
	FromRow    Source = "row"
	FromMemory Source = "memory"
	FromHolder Source = "holder"
)

// Recorded is the answer of an earlier request with the key.
type Recorded struct {
	Response
	Source Source
}

// Begin claims the key of the request.
// It returns a ticket if the request is to be sent now, or the recorded answer of the earlier request.
// It fails with kind OutcomeUnknown if an earlier request was sent and its outcome isn't recorded,
// with KeyReused if that was a different request, with ResponseNotStored if its answer was too large to be recorded,
// and with PlatformUnavailable if no claim can be made.
func (s *Service) Begin(ctx context.Context, request Request) (*Ticket, *Recorded, error) {
	key := Key(request.Service, request.Key)
	for {
		mine, other := s.enter(key, request.Digest)
		if other == nil {
			return s.claim(ctx, key, mine)
		}
		recorded, again, err := s.join(ctx, other, request.Digest)
		if !again {
			return nil, recorded, err
		}
	}
}

// claim writes the row of a flight that this entry has just entered.
func (s *Service) claim(ctx context.Context, key string, mine *flight) (*Ticket, *Recorded, error) {
	record := Record{Holder: s.Incarnation, State: Claimed, Digest: mine.digest, UnixMillis: time.Now().UnixMilli()}
	version := uint64(0)
	for {
		got, err := s.write(ctx, key, version, record)
		if err == nil {
			return s.hold(ctx, &Ticket{key: key, version: got.version, record: record, flight: mine})
		}
		if len(got.conflicts) == 0 {
			s.leave(key, mine, flightReleased, nil)
			return nil, nil, err
		}
		found := got.conflicts[0]
		free, recorded, err := s.earlier(ctx, found, record.Digest)
		if !free {
			s.leave(key, mine, flightReleased, nil)
			return nil, recorded, err
		}
		version = found.Version
	}
}

// hold gives out the ticket unless it came too late to send the request.
func (s *Service) hold(ctx context.Context, ticket *Ticket) (*Ticket, *Recorded, error) {
	if ctx.Err() != nil {
		s.Release(ticket)
		return nil, nil, fault.New(fault.DeadlineExceeded, "the claim came after the deadline")
	}
	if s.LeaseValid != nil && !s.LeaseValid() {
		s.Release(ticket)
		return nil, nil, fault.New(fault.NotReady, "this entry's lease may have run out").WithRetryAfter(time.Second)
	}
	return ticket, nil, nil
}

// earlier says what a claim found in the table means: free to be claimed, recorded, or an error.
func (s *Service) earlier(ctx context.Context, row platform.Row, digest uint64) (bool, *Recorded, error) {
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
		recorded, err := recordedAnswer(found.Response, FromRow)
		return false, recorded, err
	case found.State == Lost:
		return false, nil, unknown("the earlier request with the key was sent and its outcome is unknown")
	case found.Holder == s.Incarnation:
		// The flight is this arrival's own, so that no earlier arrival here is between claim and record:
		// the row is from a claim that was given up because its answer didn't come.
		return true, nil, nil
	}
	return s.askHolder(ctx, HolderQuery{Key: row.Key, Holder: found.Holder})
}

func recordedAnswer(answer *Response, source Source) (*Recorded, error) {
	if answer.Dropped {
		return nil, fault.New(fault.ResponseNotStored, "the request ran with status %d; its answer was too large to be kept", answer.Status)
	}
	return &Recorded{Response: *answer, Source: source}, nil
}

func unknown(text string) error { return fault.New(fault.OutcomeUnknown, "%s", text) }

// Finish records that the request ran, with its answer if that has at most limit bytes; it doesn't wait.
func (s *Service) Finish(ticket *Ticket, answer Response, limit int) {
	kept := answer.limit(limit)
	ticket.record.State = Done
	ticket.record.Response = &kept
	s.record(ticket, flightDone, &answer)
}

// FinishUnknown records that the request was sent and its outcome is unknown; it doesn't wait.
func (s *Service) FinishUnknown(ticket *Ticket) {
	ticket.record.State = Lost
	s.record(ticket, flightLost, nil)
}

// Release frees the key of a request that did not run; it doesn't wait.
func (s *Service) Release(ticket *Ticket) {
	s.settle(ticket.flight, flightReleased, nil)
	s.Batcher.submit(&change{
		keep:       true,
		conditions: []platform.Condition{{Key: ticket.key, Version: ticket.version}},
		writes:     []platform.Write{{Key: ticket.key}},
		done:       func(result) { s.forget(ticket.key, ticket.flight) },
	})
}

// record writes the outcome; until it is in the table, repeats are answered from memory.
func (s *Service) record(ticket *Ticket, state flightState, answer *Response) {
	s.settle(ticket.flight, state, answer)
	value, _ := json.Marshal(ticket.record)
	s.Batcher.submit(&change{
		keep:       true,
		conditions: []platform.Condition{{Key: ticket.key, Version: ticket.version}},
		writes:     []platform.Write{{Key: ticket.key, Value: value}},
		done:       func(result) { s.forget(ticket.key, ticket.flight) },
	})
}

// write commits the row of a claim and waits for the result or for ctx.
func (s *Service) write(ctx context.Context, key string, version uint64, record Record) (result, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return result{}, fault.Wrap(fault.Internal, err, "encode claim")
	}
	done := make(chan result, 1)
	c := &change{
		conditions: []platform.Condition{{Key: key, Version: version}},
		writes:     []platform.Write{{Key: key, Value: value}},
		done:       func(r result) { done <- r },
	}
	s.Batcher.submit(c)
	select {
	case got := <-done:
		return got, notSent(got.err)
	case <-ctx.Done():
		s.Batcher.cancel(c)
		// A transaction may carry the claim already, so its result is waited for; it is bounded.
		got := <-done
		return got, notSent(got.err)
	}
}

// notSent gives the error of a claim outcome not_run: the request is sent only under a claim that is certain.
func notSent(err error) error {
	if err == nil || fault.IsKind(err, fault.Conflict) {
		return err
	}
	failure := fault.As(err).WithOutcome(fault.NotRun)
	if failure.RetryAfter() == 0 {
		failure = failure.WithRetryAfter(probeInterval)
	}
	return failure
}
