package claim

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

// longPollTimeout is how long the holder of a claim delays its response to another entry while the request is running.
const longPollTimeout = 400 * time.Millisecond

// outcome is the outcome of a request that this entry has claimed or is claiming.
type outcome int

const (
	outcomePending outcome = iota
	outcomeNotRun
	outcomeDone
	outcomeUnknown
)

// activeRequest is a request from the claim of its key until its outcome is committed to the table.
type activeRequest struct {
	digest uint64
	// decided is closed once outcome and response are final.
	decided chan struct{}
	// removed is closed once the request is no longer in Service.active.
	removed  chan struct{}
	outcome  outcome
	response *Response
}

// activate adds a request with the key and returns it as created, or returns the existing one.
func (s *Service) activate(key string, digest uint64) (created, existing *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = make(map[string]*activeRequest)
	}
	existing = s.active[key]
	if existing != nil {
		return nil, existing
	}
	created = &activeRequest{digest: digest, decided: make(chan struct{}), removed: make(chan struct{})}
	s.active[key] = created
	s.notifyArrivalLocked(key)
	return created, nil
}

// setOutcome sets the final outcome of a request; it is called once.
func (s *Service) setOutcome(request *activeRequest, state outcome, response *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request.outcome = state
	request.response = response
	close(request.decided)
}

// removeActive removes a request whose outcome is committed or whose key wasn't claimed.
func (s *Service) removeActive(key string, request *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, key)
	close(request.removed)
}

func (s *Service) finishNotClaimed(key string, request *activeRequest, state outcome, response *Response) {
	s.setOutcome(request, state, response)
	s.removeActive(key, request)
}

// awaitActive waits for the outcome of an earlier request with the key at this entry; again reports that the
// request did not run and the key is free, so that Begin should try again.
func (s *Service) awaitActive(ctx context.Context, existing *activeRequest, digest uint64) (recorded *RecordedResponse, again bool, err error) {
	if existing.digest != digest {
		return nil, false, fault.New(fault.KeyReused, "the key was used for another request")
	}
	select {
	case <-existing.decided:
	case <-ctx.Done():
		return nil, false, outcomeUnknownError("the earlier request with the key is still running")
	}
	switch existing.outcome {
	case outcomeDone:
		return &RecordedResponse{Response: *existing.response, Source: FromMemory}, false, nil
	case outcomeUnknown:
		return nil, false, outcomeUnknownError("the earlier request with the key was sent and its outcome is unknown")
	}
	select {
	case <-existing.removed:
		return nil, true, nil
	case <-ctx.Done():
		return nil, false, fault.New(fault.PlatformUnavailable, "the earlier request with the key did not run, but its claim is not yet released").WithRetryAfter(probeInterval)
	}
}

// InFlight returns the number of requests whose outcome isn't committed yet.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}
