package claim

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

// HolderQuery asks the holder of a claim what became of its request.
type HolderQuery struct {
	// Key is the key of the claim's row.
	Key string `json:"key"`
	// Holder is the incarnation that the row names.
	Holder string `json:"holder"`
}

// RequestState is what the holder of a claim says of its request.
type RequestState string

// The answers of a holder.
const (
	// RequestRunning says that the request still runs; the holder may be asked again at once.
	RequestRunning RequestState = "running"
	// RequestNotSent says that the holder has not sent the request and never will.
	RequestNotSent        RequestState = "not_sent"
	RequestDone           RequestState = "done"
	RequestOutcomeUnknown RequestState = "lost"
	// HolderReplaced says that another entry answers at the holder's address.
	HolderReplaced RequestState = "replaced"
)

// HolderResponse is the holder's answer.
type HolderResponse struct {
	State    RequestState `json:"state"`
	Response *Response    `json:"answer,omitempty"`
}

// HandleHolderQuery answers another entry that found a claim of this one; it holds the answer back for a moment while the request runs.
func (s *Service) HandleHolderQuery(ctx context.Context, request HolderQuery) HolderResponse {
	if request.Holder != s.Incarnation {
		return HolderResponse{State: HolderReplaced}
	}
	s.mu.Lock()
	found := s.flights[request.Key]
	s.mu.Unlock()
	if found == nil {
		// Every request that was sent stays in memory until its outcome is in the table.
		return HolderResponse{State: RequestNotSent}
	}
	timer := time.NewTimer(askWait)
	defer timer.Stop()
	select {
	case <-found.settled:
	case <-timer.C:
		return HolderResponse{State: RequestRunning}
	case <-ctx.Done():
		return HolderResponse{State: RequestRunning}
	}
	switch found.state {
	case flightDone:
		return HolderResponse{State: RequestDone, Response: found.answer}
	case flightLost:
		return HolderResponse{State: RequestOutcomeUnknown}
	}
	return HolderResponse{State: RequestNotSent}
}

// askHolder follows the request at the entry that holds its claim until ctx ends.
func (s *Service) askHolder(ctx context.Context, request HolderQuery) (bool, *Recorded, error) {
	for s.QueryHolder != nil && ctx.Err() == nil {
		got, err := s.QueryHolder(ctx, request)
		if err != nil {
			return false, nil, fault.Wrap(fault.OutcomeUnknown, err, "the entry that holds the key does not answer")
		}
		switch got.State {
		case RequestDone:
			return false, &Recorded{Response: *got.Response, Source: FromHolder}, nil
		case RequestOutcomeUnknown:
			return false, nil, unknown("the earlier request with the key was sent and its outcome is unknown")
		case RequestNotSent:
			return true, nil, nil
		case HolderReplaced:
			return false, nil, unknown("the entry that held the key is gone")
		}
	}
	return false, nil, unknown("the earlier request with the key has no outcome yet")
}
