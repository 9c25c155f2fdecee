package settings

import (
	"context"
	"encoding/json"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	// changeAttempts limits how often a change is rebased on concurrent changes.
	changeAttempts = 64
	// resendDelay is the delay before a call whose outcome is unknown is sent again.
	resendDelay = 200 * time.Millisecond
)

// Store writes changes to the platform's table.
type Store struct {
	Client *platform.Client
	// CachedState returns the state that this entry has cached, which saves a read of the table; it may return nil.
	CachedState func(context.Context) *State
}

// Load reads the current state from the table.
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
// The change is rebased on concurrent changes; it fails with kind Conflict if one of them changed a node whose revision
// an edit expects. It fails with kind PlatformUnavailable and outcome unknown if ctx ends before the commit is known;
// sending the change again with the same token is then safe.
func (s *Store) Change(ctx context.Context, change Change) (uint64, error) {
	err := change.Check()
	if err != nil {
		return 0, err
	}
	if change.Token == "" {
		change.Token = platform.NewToken()
	}
	if s.CachedState != nil {
		cached := s.CachedState(ctx)
		if cached != nil {
			revision, done, err := s.attempt(ctx, cached, change)
			if done && !rejectedByState(err) {
				return revision, err
			}
		}
	}
	return s.rebase(ctx, change)
}

// rejectedByState reports whether the change was rejected for the state it was tried on; a newer state may accept it.
func rejectedByState(err error) bool {
	return fault.IsKind(err, fault.Conflict) || fault.IsKind(err, fault.InvalidSetting) || fault.IsKind(err, fault.NotExist)
}

// rebase loads the state and tries the change on it, and repeats this while concurrent changes are committed first.
func (s *Store) rebase(ctx context.Context, change Change) (uint64, error) {
	for range changeAttempts {
		state, err := s.Load(ctx)
		if err != nil {
			return 0, err
		}
		revision, done, err := s.attempt(ctx, state, change)
		if done && rejectedByState(err) {
			return s.resolveRejected(ctx, change, err)
		}
		if done {
			return revision, err
		}
	}
	return 0, fault.New(fault.Conflict, "change not applied: conflicted with concurrent changes in %d attempts", changeAttempts).WithRetryAfter(time.Second)
}

// resolveRejected returns the revision of a rejected change whose token shows that it was applied before, and err for
// any other.
func (s *Store) resolveRejected(ctx context.Context, change Change, err error) (uint64, error) {
	revision, found, readErr := s.revisionOfToken(ctx, change.Token)
	if readErr != nil {
		return 0, readErr
	}
	if found {
		return revision, nil
	}
	return 0, err
}

// attempt commits the change on top of the state; done is false if a concurrent change was committed first.
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
			return s.resolveConflict(ctx, change)
		case fault.As(err).Outcome() == fault.NotRun && !unknown:
			return 0, true, err
		}
		// The transaction may have been committed. It is safe to send again: the commit changes the version of the head
		// row, so that the conditions of a second one fail.
		unknown = true
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			return 0, true, unknownOutcome(change, ctx.Err())
		}
	}
}

// resolveConflict finds out whether the conflict is with an earlier send of the same change, which was applied, or with
// a concurrent change.
func (s *Store) resolveConflict(ctx context.Context, change Change) (revision uint64, done bool, err error) {
	for {
		revision, found, err := s.revisionOfToken(ctx, change.Token)
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
	return fault.Wrap(fault.PlatformUnavailable, cause, "outcome of the change is unknown; send it again with token %s",
		change.Token).WithOutcome(fault.Unknown).WithRetryAfter(time.Second)
}

// revisionOfToken returns the revision of the change with the token, and false if none was applied.
func (s *Store) revisionOfToken(ctx context.Context, token string) (uint64, bool, error) {
	rows, err := s.Client.Get(ctx, tokenKey(token))
	if err != nil || len(rows) == 0 || rows[0].Version == 0 {
		return 0, false, err
	}
	var record tokenRecord
	err = json.Unmarshal(rows[0].Value, &record)
	if err != nil {
		return 0, false, fault.Wrap(fault.Internal, err, "decode row %s", rows[0].Key)
	}
	return record.Revision, true, nil
}
