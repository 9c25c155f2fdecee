package claim

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

// AskRequest is a query to the holder of a claim for the state of the claimed request.
type AskRequest struct {
	// Key is the row key of the claim.
	Key string `json:"key"`
	// Holder is the holder's incarnation as the row has it.
	Holder string `json:"holder"`
}

// AskState is the state of a claimed request as its holder reports it.
type AskState string

// The states that a holder reports.
const (
	// AskRunning means that the request is still running; the holder may be queried again at once.
	AskRunning AskState = "running"
	// AskNotSent means that the holder has not sent the request and won't send it.
	AskNotSent AskState = "not_sent"
	AskDone    AskState = "done"
	// AskLost means that the request was sent and its outcome is unknown.
	AskLost AskState = "lost"
	// AskReplaced means that the entry at the holder's address has another incarnation.
	AskReplaced AskState = "replaced"
)

// AskResult is the holder's response to an AskRequest; Answer is set if the state is AskDone.
type AskResult struct {
	State  AskState `json:"state"`
	Answer *Answer  `json:"answer,omitempty"`
}

// Asked handles the query of another entry about a claim of this one; it waits up to longPollTimeout while the request
// is running.
func (s *Service) Asked(ctx context.Context, request AskRequest) AskResult {
	if request.Holder != s.Incarnation {
		return AskResult{State: AskReplaced}
	}
	s.mu.Lock()
	active := s.active[request.Key]
	s.mu.Unlock()
	if active == nil {
		// A request that was sent stays in s.active until its outcome is committed: this one was not sent, or its row has
		// changed since the other entry read it.
		return AskResult{State: AskNotSent}
	}
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	select {
	case <-active.decided:
	case <-timer.C:
		return AskResult{State: AskRunning}
	case <-ctx.Done():
		return AskResult{State: AskRunning}
	}
	switch active.outcome {
	case outcomeDone:
		return AskResult{State: AskDone, Answer: active.answer}
	case outcomeUnknown:
		return AskResult{State: AskLost}
	}
	return AskResult{State: AskNotSent}
}

// awaitHolder queries the holder of a claim until it reports an outcome or ctx ends; the first result reports that the
// request was not sent, so that its key may be claimed.
func (s *Service) awaitHolder(ctx context.Context, request AskRequest) (bool, *RecordedResponse, error) {
	for s.Ask != nil && ctx.Err() == nil {
		result, err := s.Ask(ctx, request)
		if err != nil {
			return false, nil, fault.Wrap(fault.OutcomeUnknown, err, "the entry that holds the key does not answer")
		}
		switch result.State {
		case AskDone:
			return false, &RecordedResponse{Answer: *result.Answer, Source: FromHolder}, nil
		case AskLost:
			return false, nil, outcomeUnknownError("the earlier request with the key was sent and its outcome is unknown")
		case AskNotSent:
			return true, nil, nil
		case AskReplaced:
			return false, nil, outcomeUnknownError("the entry that held the key is gone")
		}
	}
	return false, nil, outcomeUnknownError("the earlier request with the key has no outcome yet")
}
