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
	// batch bounds the duties in one transaction.
	batch = 50
	// settledLeases is how many leases a member must have been seen for before duties are handed over to it.
	settledLeases = 2
	// leaveAttempts bounds how often a leaving entry tries to hand over its duties.
	leaveAttempts = 5
)

// move is a transaction that gives duties to other holders.
type move struct {
	txn     platform.Txn
	records []Record
}

func (m *move) expect(key string, version uint64) {
	m.txn.Conditions = append(m.txn.Conditions, platform.Condition{Key: key, Version: version})
}

// assign adds the change of one duty's holder; holder is nil for none.
func (m *move) assign(name string, old record, holder *Member) {
	next := Record{Name: name, Epoch: old.Epoch + 1}
	if holder != nil {
		next.Holder = holder.Incarnation
		next.HolderKey = holder.Key()
	}
	m.expect(next.Key(), old.version)
	m.txn.Writes = append(m.txn.Writes, encode(next.Key(), next))
	m.records = append(m.records, next)
}

// lapsed reports whether the member's row has not changed for a lease before a look at the table that was answered.
// Time in which this entry could not renew its own row doesn't count: then the member may have been unable to, too.
func (s *Session) lapsed(member seen, asOf time.Time) bool {
	from := member.at
	if s.steady.After(from) {
		from = s.steady
	}
	return member.Lapsed || asOf.Sub(from) >= s.LeaseDuration
}

// live returns the members that have not lapsed, in order.
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

// settled returns the live members that have been seen for long enough to be handed duties.
func (s *Session) settled(asOf time.Time) []Member {
	return slices.DeleteFunc(s.live(asOf), func(member Member) bool {
		first := s.members[member.Key()].first
		return member.Incarnation != s.Self.Incarnation && asOf.Sub(first) < settledLeases*s.LeaseDuration
	})
}

// choose returns the member that should hold the duty, nil if there are none.
func choose(name string, members []Member) *Member {
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

// act writes what follows from a look at the table that was sent at asOf.
func (s *Session) act(asOf time.Time) {
	_, registered := s.members[s.Self.Key()]
	if !s.Live() || !registered || s.leaving {
		s.busy = false
		return
	}
	for _, plan := range []func(time.Time) move{s.markLapsed, s.take, s.handOver, s.removeForerunners} {
		next := plan(asOf)
		if len(next.txn.Writes) > 0 {
			s.commit(next)
			return
		}
	}
	s.busy = false
}

// markLapsed marks the row of one lapsed member and spreads its duties over the live ones.
// A holder that was only paused finds its row changed, and its writes fail on the rows of its duties. The marked row
// stays until the process is known to be gone, since an entry that is cut off goes on serving.
func (s *Session) markLapsed(asOf time.Time) move {
	var next move
	live := s.live(asOf)
	for _, key := range slices.Sorted(maps.Keys(s.members)) {
		member := s.members[key]
		marker := choose(key, live)
		if member.Lapsed || !s.lapsed(member, asOf) || marker == nil || marker.Incarnation != s.Self.Incarnation {
			continue
		}
		marked := member.Member
		marked.Lapsed = true
		next.expect(key, member.version)
		next.txn.Writes = append(next.txn.Writes, encode(key, marked))
		for _, name := range s.heldBy(member.Incarnation) {
			next.assign(name, s.duties[name], choose(name, live))
		}
		s.Log.Write(event.MemberLapsed, event.Fields{"incarnation": member.Incarnation, "duties": len(next.records)})
		return next
	}
	return next
}

// removeForerunners removes the rows of earlier sessions of this entry, which are gone: this one has their address.
func (s *Session) removeForerunners(time.Time) move {
	var next move
	for _, key := range slices.Sorted(maps.Keys(s.members)) {
		member := s.members[key]
		same := member.Name == s.Self.Name && member.DataCentre == s.Self.DataCentre && member.Peer == s.Self.Peer
		if !same || s.Self.Name == "" || key == s.Self.Key() {
			continue
		}
		next.expect(key, member.version)
		next.txn.Writes = append(next.txn.Writes, platform.Write{Key: key})
		for _, name := range s.heldBy(member.Incarnation) {
			next.assign(name, s.duties[name], &s.Self)
		}
	}
	return next
}

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

// take takes the duties without a registered holder that this entry should hold.
func (s *Session) take(asOf time.Time) move {
	var next move
	live := s.live(asOf)
	for _, name := range s.DutyNames() {
		duty := s.duties[name]
		registered, held := s.members[duty.HolderKey]
		held = held && !registered.Lapsed
		holder := choose(name, live)
		if held || holder == nil || holder.Incarnation != s.Self.Incarnation || len(next.records) == batch {
			continue
		}
		next.assign(name, duty, holder)
	}
	return next
}

// handOver gives duties to the members that should hold them since they joined.
func (s *Session) handOver(asOf time.Time) move {
	var next move
	settled := s.settled(asOf)
	for _, name := range s.heldBy(s.Self.Incarnation) {
		holder := choose(name, settled)
		if holder == nil || holder.Incarnation == s.Self.Incarnation || len(next.records) == batch {
			continue
		}
		next.assign(name, s.duties[name], holder)
	}
	return next
}

// commit writes a move, and looks at the table again at once, since more may follow.
func (s *Session) commit(next move) {
	next.txn.Token = platform.NewToken()
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.CommitResult, error) { return s.Client.Commit(ctx, next.txn) },
		func(result platform.CommitResult, err error) {
			if err != nil {
				s.busy = false
				return
			}
			for _, duty := range next.records {
				s.setDuty(duty, result.Version)
			}
			s.look()
		})
}

// Leave hands the duties to other members and removes the member row; done is called on the loop.
func (s *Session) Leave(done func(error)) {
	s.leaving = true
	s.leave(leaveAttempts, done)
}

func (s *Session) leave(attempts int, done func(error)) {
	next := move{txn: platform.Txn{Token: platform.NewToken()}}
	next.expect(s.Self.Key(), s.version)
	next.txn.Writes = append(next.txn.Writes, platform.Write{Key: s.Self.Key()})
	others := slices.DeleteFunc(s.Members(), func(member Member) bool { return member.Incarnation == s.Self.Incarnation })
	for _, name := range s.heldBy(s.Self.Incarnation) {
		next.assign(name, s.duties[name], choose(name, others))
	}
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.CommitResult, error) { return s.Client.Commit(ctx, next.txn) },
		func(result platform.CommitResult, err error) {
			if !fault.IsKind(err, fault.Conflict) || attempts == 1 || s.gone(result.Conflicts) {
				done(err)
				return
			}
			s.apply(result.Conflicts)
			s.leave(attempts-1, done)
		})
}

// gone reports whether the own member row is no longer there, and takes over its version if it is, marked or not.
func (s *Session) gone(conflicts []platform.Row) bool {
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

// Forget returns the transaction that removes the row of a lapsed member whose process is known to be gone.
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
