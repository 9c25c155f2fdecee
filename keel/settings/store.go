package settings

import (
	"context"
	"encoding/json"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	// changeAttempts bounds how often a change is rebased on edits of other nodes.
	changeAttempts = 64
	// resendDelay is the delay before a transaction whose answer was lost is sent again.
	resendDelay = 200 * time.Millisecond
)

// Store writes changes to the platform's table.
type Store struct {
	Client *platform.Client
	// CachedState returns the state that the entry has in force, which spares a read of the table; nil stands for none.
	CachedState func(context.Context) *State
}

// Load reads the present state from the table.
func (s *Store) Load(ctx context.Context) (*State, error) {
	state := NewState()
	var rows []platform.Row
	var after uint64
	for {
		result, err := s.Client.Scan(ctx, platform.ScanRequest{Prefix: Prefix, After: after})
		if err != nil {
			return nil, err
		}
		rows = append(rows, result.Rows...)
		after = result.Through
		if !result.More {
			return state.Update(rows)
		}
	}
}

// Change writes a change and returns its revision once the commit is known.
// Edits of other nodes are rebased; an edit of the same node fails with kind Conflict if it names what it expects.
// It fails with kind PlatformUnavailable and outcome unknown if ctx ends before the commit is known; sending
// the change again with the same token is then safe.
func (s *Store) Change(ctx context.Context, change Change) (uint64, error) {
	err := change.Check()
	if err != nil {
		return 0, err
	}
	if change.Token == "" {
		change.Token = platform.NewToken()
	}
	if s.CachedState != nil {
		known := s.CachedState(ctx)
		if known != nil {
			revision, done, err := s.attempt(ctx, known, change)
			if done && !refusedByState(err) {
				return revision, err
			}
		}
	}
	return s.rebase(ctx, change)
}

// refusedByState reports whether a newer state may take a change that this error refused.
func refusedByState(err error) bool {
	return fault.IsKind(err, fault.Conflict) || fault.IsKind(err, fault.InvalidSetting) || fault.IsKind(err, fault.NotExist)
}

// rebase tries the change on the state in the table until no other change comes first.
func (s *Store) rebase(ctx context.Context, change Change) (uint64, error) {
	for range changeAttempts {
		state, err := s.Load(ctx)
		if err != nil {
			return 0, err
		}
		revision, done, err := s.attempt(ctx, state, change)
		if done && refusedByState(err) {
			return s.refused(ctx, change, err)
		}
		if done {
			return revision, err
		}
	}
	return 0, fault.New(fault.Conflict, "other changes came first %d times", changeAttempts).WithRetryAfter(time.Second)
}

// refused returns the revision of a change that is refused because it took effect before, and err for any other.
func (s *Store) refused(ctx context.Context, change Change, err error) (uint64, error) {
	revision, found, readErr := s.applied(ctx, change.Token)
	if readErr != nil {
		return 0, readErr
	}
	if found {
		return revision, nil
	}
	return 0, err
}

// attempt writes the change on top of the state; done is false if another change came first.
func (s *Store) attempt(ctx context.Context, state *State, change Change) (revision uint64, done bool, err error) {
	txn, next, err := state.Transaction(change, time.Now().UnixMilli())
	if err != nil {
		return 0, true, err
	}
	unknown := false
	for {
		_, err = s.Client.Commit(ctx, txn)
		switch {
		case err == nil:
			return next.Revision(), true, nil
		case fault.IsKind(err, fault.Conflict):
			return s.conflicted(ctx, change)
		case fault.As(err).Outcome() == fault.NotRun && !unknown:
			return 0, true, err
		}
		// The transaction may have taken effect. Sent again it can't do so twice, since the head's version moves.
		unknown = true
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			return 0, true, unknownOutcome(change, ctx.Err())
		}
	}
}

// conflicted tells an earlier send of the change that took effect from another change that came first.
func (s *Store) conflicted(ctx context.Context, change Change) (revision uint64, done bool, err error) {
	for {
		revision, found, err := s.applied(ctx, change.Token)
		if err == nil {
			return revision, found, nil
		}
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			return 0, true, unknownOutcome(change, ctx.Err())
		}
	}
}

func unknownOutcome(change Change, cause error) error {
	return fault.Wrap(fault.PlatformUnavailable, cause, "it is not known yet whether the change took effect; send it again with token %s",
		change.Token).WithOutcome(fault.Unknown).WithRetryAfter(time.Second)
}

// applied returns the revision of the change with the token, and false if none took effect.
func (s *Store) applied(ctx context.Context, token string) (uint64, bool, error) {
	rows, err := s.Client.Get(ctx, tokenKey(token))
	if err != nil || len(rows) == 0 || rows[0].Version == 0 {
		return 0, false, err
	}
	var found applied
	err = json.Unmarshal(rows[0].Value, &found)
	if err != nil {
		return 0, false, fault.Wrap(fault.Internal, err, "row %s", rows[0].Key)
	}
	return found.Revision, true, nil
}
