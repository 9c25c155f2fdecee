package claim

import (
	"context"
	"slices"

	"samphirekeel.example/keel/platform"
)

// WaitLocal waits for the outcome of the request with the key at this entry and returns its state, RequestRunning if
// ctx ends first; ok is false if no such request is in flight here.
func (s *Service) WaitLocal(ctx context.Context, key string) (state RequestState, ok bool) {
	s.mu.Lock()
	active := s.active[key]
	s.mu.Unlock()
	if active == nil {
		return "", false
	}
	select {
	case <-active.decided:
	case <-ctx.Done():
		return RequestRunning, true
	}
	switch active.outcome {
	case outcomeDone:
		return RequestDone, true
	case outcomeUnknown:
		return RequestOutcomeUnknown, true
	}
	return RequestNotSent, true
}

// RequestState returns the state of the request whose claim is in the row; it queries the holder if the row has no
// outcome.
func (s *Service) RequestState(ctx context.Context, row platform.Row) (RequestState, error) {
	if row.Version == 0 {
		return RequestNotSent, nil
	}
	record, err := decodeRecord(row.Value)
	if err != nil {
		return "", err
	}
	switch {
	case record.State == Done:
		return RequestDone, nil
	case record.State == OutcomeUnknown:
		return RequestOutcomeUnknown, nil
	case record.Holder == s.Incarnation:
		return s.HandleHolderQuery(ctx, HolderQuery{Key: row.Key, Holder: record.Holder}).State, nil
	case s.QueryHolder == nil:
		return HolderReplaced, nil
	}
	result, err := s.QueryHolder(ctx, HolderQuery{Key: row.Key, Holder: record.Holder})
	if err != nil {
		// The holder can't be queried, so the outcome is unknown.
		return HolderReplaced, nil
	}
	return result.State, nil
}

// SubscribeArrival returns a channel that is closed when a request with the key arrives at this entry, or at once if
// one is in flight; the caller must unsubscribe it with UnsubscribeArrival.
func (s *Service) SubscribeArrival(key string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrived := make(chan struct{})
	if s.active[key] != nil {
		close(arrived)
		return arrived
	}
	if s.arrivalWaiters == nil {
		s.arrivalWaiters = make(map[string][]chan struct{})
	}
	s.arrivalWaiters[key] = append(s.arrivalWaiters[key], arrived)
	return arrived
}

// UnsubscribeArrival unsubscribes a channel that SubscribeArrival returned.
func (s *Service) UnsubscribeArrival(key string, arrived chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := slices.DeleteFunc(s.arrivalWaiters[key], func(other chan struct{}) bool { return other == arrived })
	if len(remaining) == 0 {
		delete(s.arrivalWaiters, key)
		return
	}
	s.arrivalWaiters[key] = remaining
}

// notifyArrivalLocked closes the channels that wait for the key; the caller holds s.mu.
func (s *Service) notifyArrivalLocked(key string) {
	for _, arrived := range s.arrivalWaiters[key] {
		close(arrived)
	}
	delete(s.arrivalWaiters, key)
}
