package duty

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	// maxDutiesPerTxn limits the duties that one transaction acquires or rebalances.
	maxDutiesPerTxn = 50
	// eligibleAfterLeases is for how many leases a member must have been known before duties are rebalanced to it.
	eligibleAfterLeases = 2
	// leaveAttempts is the maximum number of attempts of a leaving entry to hand over its duties.
	leaveAttempts = 5
)

// reassignment is a transaction that changes the holders of duties.
type reassignment struct {
	txn     platform.Txn
	records []Record
}

func (r *reassignment) addCondition(key string, version uint64) {
	r.txn.Conditions = append(r.txn.Conditions, platform.Condition{Key: key, Version: version})
}

// assign adds the change of a duty's holder to the transaction; a nil holder leaves the duty without one.
func (r *reassignment) assign(name string, old dutyRow, holder *Member) {
	next := Record{Name: name, Epoch: old.Epoch + 1}
	if holder != nil {
		next.Holder = holder.Incarnation
		next.HolderKey = holder.Key()
	}
	r.addCondition(next.Key(), old.version)
	r.txn.Writes = append(r.txn.Writes, encode(next.Key(), next))
	r.records = append(r.records, next)
}

// lapsed reports whether the member row is marked as lapsed or had not changed for one lease at asOf, the time at which
// the poll was sent. Time in which this entry could not renew its own row does not count, since the member may have
// been unable to renew for the same reason.
func (s *Session) lapsed(row memberRow, asOf time.Time) bool {
	unchangedSince := row.changedAt
	if s.renewedSince.After(unchangedSince) {
		unchangedSince = s.renewedSince
	}
	return row.Lapsed || asOf.Sub(unchangedSince) >= s.LeaseDuration
}

// live returns the members that had not lapsed at asOf, sorted by incarnation.
func (s *Session) live(asOf time.Time) []Member {
	var live []Member
	for _, member := range s.members {
		if !s.lapsed(member, asOf) {
			live = append(live, member.Member)
		}
	}
	sortMembers(live)
	return live
}

// eligible returns the live members to which duties may be rebalanced: this entry and those known for long enough.
func (s *Session) eligible(asOf time.Time) []Member {
	return slices.DeleteFunc(s.live(asOf), func(member Member) bool {
		firstSeen := s.members[member.Key()].firstSeen
		return member.Incarnation != s.Self.Incarnation && asOf.Sub(firstSeen) < eligibleAfterLeases*s.LeaseDuration
	})
}

// preferredMember returns the member that should hold the duty, nil if there are no members.
func preferredMember(name string, members []Member) *Member {
	incarnations := make([]string, 0, len(members))
	for _, member := range members {
		incarnations = append(incarnations, member.Incarnation)
	}
	preferred := Preferred(name, incarnations)
	for i := range members {
		if members[i].Incarnation == preferred {
			return &members[i]
		}
	}
	return nil
}

// reconcile commits the first change that the rows require, if any; asOf is when the poll that read the rows was sent.
func (s *Session) reconcile(asOf time.Time) {
	_, registered := s.members[s.Self.Key()]
	if !s.Live() || !registered || s.leaving {
		s.stepRunning = false
		return
	}
	for _, plan := range []func(time.Time) reassignment{s.markLapsed, s.acquireUnheld, s.rebalance, s.removePreviousSessions} {
		next := plan(asOf)
		if len(next.txn.Writes) > 0 {
			s.commit(next)
			return
		}
	}
	s.stepRunning = false
}

// markLapsed plans to mark the row of one lapsed member and to distribute its duties over the live members. A holder
// that was only paused then finds its row changed, and its writes fail on the conditions on its duty rows. The marked
// row stays until the process is known to have ended, since a partitioned entry continues to serve requests.
func (s *Session) markLapsed(asOf time.Time) reassignment {
	var next reassignment
	live := s.live(asOf)
	for _, key := range slices.Sorted(maps.Keys(s.members)) {
		member := s.members[key]
		marker := preferredMember(key, live)
		if member.Lapsed || !s.lapsed(member, asOf) || marker == nil || marker.Incarnation != s.Self.Incarnation {
			continue
		}
		marked := member.Member
		marked.Lapsed = true
		next.addCondition(key, member.version)
		next.txn.Writes = append(next.txn.Writes, encode(key, marked))
		for _, name := range s.heldBy(member.Incarnation) {
			next.assign(name, s.duties[name], preferredMember(name, live))
		}
		s.Log.Write(event.MemberLapsed, event.Fields{"incarnation": member.Incarnation, "duties": len(next.records)})
		return next
	}
	return next
}

// removePreviousSessions plans to remove the rows of earlier sessions of this entry and to take over their duties.
// Their processes must have ended, since this process listens on their address.
func (s *Session) removePreviousSessions(time.Time) reassignment {
	var next reassignment
	for _, key := range slices.Sorted(maps.Keys(s.members)) {
		member := s.members[key]
		same := member.Name == s.Self.Name && member.DataCentre == s.Self.DataCentre && member.Peer == s.Self.Peer
		if !same || s.Self.Name == "" || key == s.Self.Key() {
			continue
		}
		next.addCondition(key, member.version)
		next.txn.Writes = append(next.txn.Writes, platform.Write{Key: key})
		for _, name := range s.heldBy(member.Incarnation) {
			next.assign(name, s.duties[name], &s.Self)
		}
	}
	return next
}

// heldBy returns the sorted names of the duties that the incarnation holds.
func (s *Session) heldBy(incarnation string) []string {
	var names []string
	for name, duty := range s.duties {
		if duty.Holder == incarnation {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// acquireUnheld plans to acquire the duties that have no registered holder and that this entry should hold.
func (s *Session) acquireUnheld(asOf time.Time) reassignment {
	var next reassignment
	live := s.live(asOf)
	for _, name := range s.DutyNames() {
		duty := s.duties[name]
		registered, held := s.members[duty.HolderKey]
		held = held && !registered.Lapsed
		holder := preferredMember(name, live)
		if held || holder == nil || holder.Incarnation != s.Self.Incarnation || len(next.records) == maxDutiesPerTxn {
			continue
		}
		next.assign(name, duty, holder)
	}
	return next
}

// rebalance plans to hand duties of this entry over to members that joined later and should hold them.
func (s *Session) rebalance(asOf time.Time) reassignment {
	var next reassignment
	eligible := s.eligible(asOf)
	for _, name := range s.heldBy(s.Self.Incarnation) {
		holder := preferredMember(name, eligible)
		if holder == nil || holder.Incarnation == s.Self.Incarnation || len(next.records) == maxDutiesPerTxn {
			continue
		}
		next.assign(name, s.duties[name], holder)
	}
	return next
}

// commit writes the reassignment and then polls again at once, since further changes may be due.
func (s *Session) commit(next reassignment) {
	next.txn.Token = platform.NewToken()
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.CommitResult, error) { return s.Client.Commit(ctx, next.txn) },
		func(result platform.CommitResult, err error) {
			if err != nil {
				s.stepRunning = false
				return
			}
			for _, duty := range next.records {
				s.setDuty(duty, result.Version)
			}
			s.poll()
		})
}

// Leave hands the entry's duties over to other members and removes its member row; done is called on the loop.
func (s *Session) Leave(done func(error)) {
	s.leaving = true
	s.tryLeave(leaveAttempts, done)
}

// tryLeave commits the transaction of Leave. After a conflict it retries, up to the given number of attempts, unless
// the member row was removed.
func (s *Session) tryLeave(attempts int, done func(error)) {
	next := reassignment{txn: platform.Txn{Token: platform.NewToken()}}
	next.addCondition(s.Self.Key(), s.version)
	next.txn.Writes = append(next.txn.Writes, platform.Write{Key: s.Self.Key()})
	others := slices.DeleteFunc(s.Members(), func(member Member) bool { return member.Incarnation == s.Self.Incarnation })
	for _, name := range s.heldBy(s.Self.Incarnation) {
		next.assign(name, s.duties[name], preferredMember(name, others))
	}
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.CommitResult, error) { return s.Client.Commit(ctx, next.txn) },
		func(result platform.CommitResult, err error) {
			if !fault.IsKind(err, fault.Conflict) || attempts == 1 || s.rowRemoved(result.Conflicts) {
				done(err)
				return
			}
			s.apply(result.Conflicts)
			s.tryLeave(attempts-1, done)
		})
}

// rowRemoved reports whether the entry's own member row was removed; otherwise it stores the row's version, also if the
// row is marked as lapsed.
func (s *Session) rowRemoved(conflicts []platform.Row) bool {
	for _, row := range conflicts {
		if row.Key == s.Self.Key() && row.Version == 0 {
			return true
		}
		if row.Key == s.Self.Key() {
			s.version = row.Version
		}
	}
	return false
}

// Forget returns the transaction that removes the row of a lapsed member whose process is known to have ended.
// It fails with kind NotExist if there is no such member and with Conflict if the member has not lapsed.
func (s *Session) Forget(incarnation string) (platform.Txn, error) {
	for key, member := range s.members {
		if member.Incarnation != incarnation {
			continue
		}
		if !member.Lapsed {
			return platform.Txn{}, fault.New(fault.Conflict, "entry %s has not lapsed; stop it instead", incarnation)
		}
		return platform.Txn{
			Token:      platform.NewToken(),
			Conditions: []platform.Condition{{Key: key, Version: member.version}},
			Writes:     []platform.Write{{Key: key}},
		}, nil
	}
	return platform.Txn{}, fault.New(fault.NotExist, "entry %s", incarnation)
}
