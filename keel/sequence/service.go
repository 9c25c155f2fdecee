package sequence

import (
	"context"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	// pollInterval is the time between polls for the claim of a previous request that no entry has claimed yet.
	pollInterval = 100 * time.Millisecond
	// maxWaitingRequests is the maximum number of requests that wait for previous ones at one entry.
	maxWaitingRequests = 4096
	// retryDelay is the retry delay advised to a caller whose request was rejected.
	retryDelay = time.Second
)

const (
	// maxKeysPerRead is the maximum number of keys in one read.
	maxKeysPerRead = 512
	// readTimeout is the timeout of one read.
	readTimeout = time.Second
)

// Service delays requests until the previous request of their sequence has completed; its methods are safe for
// concurrent use.
type Service struct {
	Client *platform.Client
	Claims *claim.Service

	reader  atomic.Pointer[platform.Reader]
	waiting atomic.Int64
}

// Wait returns once the previous request of the sequence has completed or the position's own request has been claimed.
// It fails with kind SequenceGap, as not run, if that does not happen before ctx ends or can no longer happen, and with
// kind Overloaded if too many requests wait.
func (s *Service) Wait(ctx context.Context, service string, position Position) error {
	if position.Number == 1 {
		return nil
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxWaitingRequests {
		return fault.New(fault.Overloaded, "%d requests are waiting for previous requests of their sequence", maxWaitingRequests).WithRetryAfter(retryDelay)
	}
	previousKey := claim.Key(service, position.previous().Key())
	ownKey := claim.Key(service, position.Key())
	for {
		state, err := s.previousState(ctx, previousKey, ownKey)
		if err != nil {
			return err
		}
		switch {
		case state == claim.RequestDone:
			return nil
		case ctx.Err() != nil:
			return gapError(position, "did not complete in time")
		case state == claim.RequestOutcomeUnknown || state == claim.HolderReplaced:
			return gapError(position, "has an unknown outcome")
		case state == claim.RequestNotSent:
			s.waitForChange(ctx, previousKey)
		}
	}
}

func gapError(position Position, reason string) error {
	return fault.New(fault.SequenceGap, "number %d of sequence %q %s", position.Number-1, position.Name, reason).WithRetryAfter(retryDelay)
}

// previousState returns the state of the previous request, or RequestDone if the position's own request is already
// claimed and thus need not wait.
func (s *Service) previousState(ctx context.Context, previousKey, ownKey string) (claim.RequestState, error) {
	state, ok := s.Claims.WaitLocal(ctx, previousKey)
	if ok {
		return state, nil
	}
	rows, err := s.rowReader().Get(ctx, previousKey, ownKey)
	if ctx.Err() != nil {
		return claim.RequestNotSent, nil
	}
	if err != nil {
		failure := fault.As(err).WithOutcome(fault.NotRun)
		return "", failure.WithRetryAfter(retryDelay)
	}
	if rows[1].Version > 0 {
		return claim.RequestDone, nil
	}
	return s.Claims.RequestState(ctx, rows[0])
}

func (s *Service) rowReader() *platform.Reader {
	reader := s.reader.Load()
	if reader != nil {
		return reader
	}
	s.reader.CompareAndSwap(nil, &platform.Reader{Client: s.Client, Timeout: readTimeout, MaxKeys: maxKeysPerRead})
	return s.reader.Load()
}

// waitForChange waits until the next poll is due, the previous request arrives at this entry, or ctx ends.
func (s *Service) waitForChange(ctx context.Context, previousKey string) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	arrived := s.Claims.SubscribeArrival(previousKey)
	defer s.Claims.UnsubscribeArrival(previousKey, arrived)
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
	}
}
