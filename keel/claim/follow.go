package claim

import (
	"context"
	"slices"

	"samphirekeel.example/keel/platform"
)

// WaitLocal follows a request that this entry has in flight; ok is false if it has none with the key.
func (s *Service) WaitLocal(ctx context.Context, key string) (state RequestState, ok bool) {
	s.mu.Lock()
	found := s.flights[key]
	s.mu.Unlock()
	if found == nil {
		return "", false
	}
	select {
	case <-found.settled:
	case <-ctx.Done():
		return RequestRunning, true
	}
	switch found.state {
	case flightDone:
		return RequestDone, true
	case flightLost:
		return RequestOutcomeUnknown, true
	}
	return RequestNotSent, true
}

// RequestState returns what became of the request of a claim's row, asking its holder if the row doesn't say.
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
	case record.State == Lost:
		return RequestOutcomeUnknown, nil
	case record.Holder == s.Incarnation:
		return s.HandleHolderQuery(ctx, HolderQuery{Key: row.Key, Holder: record.Holder}).State, nil
	case s.QueryHolder == nil:
		return HolderReplaced, nil
	}
	got, err := s.QueryHolder(ctx, HolderQuery{Key: row.Key, Holder: record.Holder})
	if err != nil {
		// Nobody can say what became of it.
		return HolderReplaced, nil
	}
	return got.State, nil
}

// SubscribeArrival returns a channel that is closed when a request with the key arrives at this entry; Forget gives it back.
func (s *Service) SubscribeArrival(key string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrived := make(chan struct{})
	if s.flights[key] != nil {
		close(arrived)
		return arrived
	}
	if s.arrivals == nil {
		s.arrivals = make(map[string][]chan struct{})
	}
	s.arrivals[key] = append(s.arrivals[key], arrived)
	return arrived
}

// UnsubscribeArrival ends the wait for an arrival.
func (s *Service) UnsubscribeArrival(key string, arrived chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := slices.DeleteFunc(s.arrivals[key], func(other chan struct{}) bool { return other == arrived })
	if len(left) == 0 {
		delete(s.arrivals, key)
		return
	}
	s.arrivals[key] = left
}

// announceLocked tells those who wait for the key that it has arrived.
func (s *Service) announceLocked(key string) {
	for _, arrived := range s.arrivals[key] {
		close(arrived)
	}
	delete(s.arrivals, key)
}
