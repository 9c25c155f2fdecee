package claim

import (
	"context"
	"slices"

	"samphirekeel.example/keel/platform"
)

// Local waits for the outcome of the request with the key at this entry and returns its state, AskRunning if ctx ends
// first; ok is false if no such request is in flight here.
func (s *Service) Local(ctx context.Context, key string) (state AskState, ok bool) {
	s.mu.Lock()
	active := s.active[key]
	s.mu.Unlock()
	if active == nil {
		return "", false
	}
	select {
	case <-active.decided:
	case <-ctx.Done():
		return AskRunning, true
	}
	switch active.outcome {
	case outcomeDone:
		return AskDone, true
	case outcomeUnknown:
		return AskLost, true
	}
	return AskNotSent, true
}

// Follow returns the state of the request whose claim is in the row; it queries the holder if the row has no outcome.
func (s *Service) Follow(ctx context.Context, row platform.Row) (AskState, error) {
	if row.Version == 0 {
		return AskNotSent, nil
	}
	record, err := decodeRecord(row.Value)
	if err != nil {
		return "", err
	}
	switch {
	case record.State == Done:
		return AskDone, nil
	case record.State == OutcomeUnknown:
		return AskLost, nil
	case record.Holder == s.Incarnation:
		return s.Asked(ctx, AskRequest{Key: row.Key, Holder: record.Holder}).State, nil
	case s.Ask == nil:
		return AskReplaced, nil
	}
	result, err := s.Ask(ctx, AskRequest{Key: row.Key, Holder: record.Holder})
	if err != nil {
		// The holder can't be queried, so the outcome is unknown.
		return AskReplaced, nil
	}
	return result.State, nil
}

// Arrival returns a channel that is closed when a request with the key arrives at this entry, or at once if one is in
// flight; the caller unsubscribes it with Forget.
func (s *Service) Arrival(key string) chan struct{} {
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

// Forget unsubscribes a channel that Arrival returned.
func (s *Service) Forget(key string, arrived chan struct{}) {
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
