package claim

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

// askWait is the time for which the holder of a claim holds back its answer while the request runs.
const askWait = 400 * time.Millisecond

// flightState is the state of a request that this entry has claimed or is claiming.
type flightState int

const (
	flightRunning flightState = iota
	flightReleased
	flightDone
	flightLost
)

// flight is a key between its claim and the record of its outcome in the table.
type flight struct {
	digest uint64
	// settled is closed once state and answer are final.
	settled chan struct{}
	// gone is closed once the flight has left memory.
	gone   chan struct{}
	state  flightState
	answer *Response
}

// enter returns a new flight of the key, or the one that there is.
func (s *Service) enter(key string, digest uint64) (mine, other *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights == nil {
		s.flights = make(map[string]*flight)
	}
	other = s.flights[key]
	if other != nil {
		return nil, other
	}
	mine = &flight{digest: digest, settled: make(chan struct{}), gone: make(chan struct{})}
	s.flights[key] = mine
	s.announceLocked(key)
	return mine, nil
}

// settle makes the outcome of a flight final.
func (s *Service) settle(f *flight, state flightState, answer *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.state = state
	f.answer = answer
	close(f.settled)
}

// forget removes a flight whose outcome is in the table.
func (s *Service) forget(key string, f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, key)
	close(f.gone)
}

func (s *Service) leave(key string, f *flight, state flightState, answer *Response) {
	s.settle(f, state, answer)
	s.forget(key, f)
}

// join waits for the outcome of an earlier arrival at this entry; again reports that the key is free.
func (s *Service) join(ctx context.Context, other *flight, digest uint64) (recorded *Recorded, again bool, err error) {
	if other.digest != digest {
		return nil, false, fault.New(fault.KeyReused, "the key was used for another request")
	}
	select {
	case <-other.settled:
	case <-ctx.Done():
		return nil, false, unknown("the earlier request with the key still runs")
	}
	switch other.state {
	case flightDone:
		return &Recorded{Response: *other.answer, Source: FromMemory}, false, nil
	case flightLost:
		return nil, false, unknown("the earlier request with the key was sent and its outcome is unknown")
	}
	select {
	case <-other.gone:
		return nil, true, nil
	case <-ctx.Done():
		return nil, false, fault.New(fault.PlatformUnavailable, "the key can't be freed yet").WithRetryAfter(probeInterval)
	}
}

// InFlight returns the number of keys between their claim and the record of their outcome.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights)
}
