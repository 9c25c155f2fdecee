package claim

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

// HolderQuery is a query to the holder of a claim for the state of the claimed request.
type HolderQuery struct {
	// Key is the row key of the claim.
	Key string `json:"key"`
	// Holder is the holder's incarnation as the row has it.
	Holder string `json:"holder"`
}

// RequestState is the state of a claimed request as its holder reports it.
type RequestState string

// The states that a holder reports.
const (
	// RequestRunning means that the request is still running; the holder may be queried again at once.
	RequestRunning RequestState = "running"
	// RequestNotSent means that the holder has not sent the request and won't send it.
	RequestNotSent RequestState = "not_sent"
	RequestDone    RequestState = "done"
	// RequestOutcomeUnknown means that the request was sent and its outcome is unknown.
	RequestOutcomeUnknown RequestState = "lost"
	// HolderReplaced means that the entry at the holder's address has another incarnation.
	HolderReplaced RequestState = "replaced"
)

// HolderResponse is the holder's response to a HolderQuery; Response is set if the state is RequestDone.
type HolderResponse struct {
	State    RequestState `json:"state"`
	Response *Response    `json:"answer,omitempty"`
}

// HandleHolderQuery handles the query of another entry about a claim of this one; it waits up to longPollTimeout while
// the request is running.
func (s *Service) HandleHolderQuery(ctx context.Context, request HolderQuery) HolderResponse {
	if request.Holder != s.Incarnation {
		return HolderResponse{State: HolderReplaced}
	}
	s.mu.Lock()
	active := s.active[request.Key]
	s.mu.Unlock()
	if active == nil {
		// A request that was sent stays in s.active until its outcome is committed: this one was not sent, or its row
		// has changed since the other entry read it.
		return HolderResponse{State: RequestNotSent}
	}
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	select {
	case <-active.decided:
	case <-timer.C:
		return HolderResponse{State: RequestRunning}
	case <-ctx.Done():
		return HolderResponse{State: RequestRunning}
	}
	switch active.outcome {
	case outcomeDone:
		return HolderResponse{State: RequestDone, Response: active.response}
	case outcomeUnknown:
		return HolderResponse{State: RequestOutcomeUnknown}
	}
	return HolderResponse{State: RequestNotSent}
}

// awaitHolder queries the holder of a claim until it reports an outcome or ctx ends; the first result reports that the
// request was not sent, so that its key may be claimed.
func (s *Service) awaitHolder(ctx context.Context, request HolderQuery) (bool, *RecordedResponse, error) {
	for s.QueryHolder != nil && ctx.Err() == nil {
		result, err := s.QueryHolder(ctx, request)
		if err != nil {
			return false, nil, fault.Wrap(fault.OutcomeUnknown, err, "cannot query the entry that holds the key")
		}
		switch result.State {
		case RequestDone:
			return false, &RecordedResponse{Response: *result.Response, Source: FromHolder}, nil
		case RequestOutcomeUnknown:
			return false, nil, outcomeUnknownError("the earlier request with the key was sent and its outcome is unknown")
		case RequestNotSent:
			return true, nil, nil
		case HolderReplaced:
			return false, nil, outcomeUnknownError("the entry that held the key was replaced before it recorded the outcome")
		}
	}
	return false, nil, outcomeUnknownError("the earlier request with the key has no outcome yet")
}
