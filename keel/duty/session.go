package duty

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/watch"
)

// leaseMarginDivisor gives the safety margin for clock drift: an entry treats its own lease as expired when 1/5 of it
// is left.
const leaseMarginDivisor = 5

// timeoutDivisor gives the margin of call timeouts: a platform call times out 1/16 of the interval before the interval
// ends.
const timeoutDivisor = 16

// Session is the membership of one entry and the duties that it holds; its methods are called on the control loop.
type Session struct {
	Client *platform.Client
	Loop   *control.Loop
	Log    *event.Log
	// Self is the entry's own member row.
	Self Member
	// LeaseDuration is how long a member counts as live after its last renewal.
	LeaseDuration time.Duration
	// RenewInterval is the time between renewals; the timeout of a platform call is shorter.
	RenewInterval time.Duration
	// PollInterval is the time between polls of the member and duty rows.
	PollInterval time.Duration
	// DutyNames returns the names of all duties.
	DutyNames func() []string
	// NewIncarnation returns an unused incarnation, with which the entry registers again after another entry ended its
	// session.
	NewIncarnation func() string

	cache   *watch.Cache
	members map[string]memberRow
	duties  map[string]dutyRow
	// version is the version of the entry's own member row, 0 before it is registered.
	version uint64
	// renewedAt is when the last successful renewal was sent, renewedSince when the first of the current unbroken
	// series of successful renewals was sent, and renewalSentAt when the last renewal was sent, successful or not.
	renewedAt, renewedSince, renewalSentAt time.Time
	// polledAt is when the last successful poll was sent.
	polledAt time.Time
	// platformLostAt is when polls began to fail, zero while they succeed.
	platformLostAt time.Time
	stepRunning    bool
	leaving        bool
}

// memberRow is a member row with the local times at which it was first seen and at which its last change was seen.
type memberRow struct {
	Member
	version              uint64
	firstSeen, changedAt time.Time
}

// dutyRow is a duty row with its version.
type dutyRow struct {
	Record
	version uint64
}

// Start starts the polls and renewals; it is called on the loop.
func (s *Session) Start() {
	s.cache = watch.New(Prefix)
	s.members = make(map[string]memberRow)
	s.duties = make(map[string]dutyRow)
	s.Loop.Every(s.PollInterval, s.step)
}

// step renews the member row if a renewal is due, polls the member and duty rows, and reconciles the duties.
func (s *Session) step() {
	if s.stepRunning || s.leaving {
		return
	}
	s.stepRunning = true
	if time.Since(s.renewalSentAt) < s.RenewInterval && s.renewalSentAt.Equal(s.renewedAt) || !s.pollCurrent() {
		s.poll()
		return
	}
	s.renew()
}

// callTimeout returns the timeout of a platform call, which ends before the step that is due one interval after the
// call.
func (s *Session) callTimeout() time.Duration {
	return s.RenewInterval - s.RenewInterval/timeoutDivisor
}

// pollCurrent reports whether a poll succeeded within the last lease; it is true for an unregistered entry. An entry
// that cannot read the duty rows must not keep its duties, so it stops renewing.
func (s *Session) pollCurrent() bool {
	return s.version == 0 || time.Since(s.polledAt) < s.LeaseDuration
}

func (s *Session) renew() {
	s.renewalSentAt = time.Now()
	sentAt := s.renewalSentAt
	next := s.Self
	next.RenewalCount++
	txn := platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{{Key: s.Self.Key(), Version: s.version}},
		Writes:     []platform.Write{encode(next.Key(), next)},
	}
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.CommitResult, error) { return s.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			s.renewDone(sentAt, next, result, err)
			s.poll()
		})
}

func (s *Session) renewDone(sentAt time.Time, next Member, result platform.CommitResult, err error) {
	if err == nil {
		s.Self = next
		s.version = result.Version
		if !s.Live() {
			s.renewedSince = sentAt
		}
		s.renewedAt = sentAt
		return
	}
	if fault.IsKind(err, fault.Conflict) && !s.leaving {
		s.resolveConflict(result.Conflicts)
	}
}

// resolveConflict handles a renewal that failed because the member row had changed. If an earlier renewal took effect
// but its response was lost, it adopts the row; if another entry ended the session, it registers again. Other entries
// write the row only to mark it as lapsed or to remove it.
func (s *Session) resolveConflict(conflicts []platform.Row) {
	for _, row := range conflicts {
		if row.Key != s.Self.Key() {
			continue
		}
		var own Member
		if row.Version == 0 || json.Unmarshal(row.Value, &own) != nil || own.Lapsed {
			s.rejoin()
			return
		}
		s.Self = own
		s.version = row.Version
	}
}

// rejoin resets the session to a new incarnation after another entry marked or removed the member row.
func (s *Session) rejoin() {
	for name, held := range s.duties {
		if held.Holder == s.Self.Incarnation {
			s.Log.Write(event.DutyLost, event.Fields{"duty": name, "epoch": held.Epoch, "reason": "member row was marked as lapsed"})
		}
	}
	ended := s.Self.Incarnation
	s.Self.Incarnation = s.NewIncarnation()
	s.Self.RenewalCount = 0
	s.version = 0
	s.renewedAt = time.Time{}
	s.Log.Write(event.SessionEnded, event.Fields{"incarnation": ended, "next": s.Self.Incarnation})
}

// poll reads the member and duty rows that changed since the last poll and then reconciles the duties.
func (s *Session) poll() {
	sentAt := time.Now()
	after := s.cache.Through()
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.ScanResult, error) {
			return s.Client.Scan(ctx, platform.ScanRequest{Prefix: Prefix, After: after})
		},
		func(result platform.ScanResult, err error) {
			s.logPlatformState(err)
			if err != nil {
				s.stepRunning = false
				return
			}
			s.apply(s.cache.Apply(after, result))
			if result.More {
				s.poll()
				return
			}
			s.polledAt = sentAt
			s.reconcile(sentAt)
		})
}

// logPlatformState logs when polls begin to fail and when they succeed again.
func (s *Session) logPlatformState(err error) {
	switch {
	case err != nil && s.platformLostAt.IsZero():
		s.platformLostAt = time.Now()
		s.Log.Write(event.PlatformLost, event.Fields{"reason": err.Error()})
	case err == nil && !s.platformLostAt.IsZero():
		s.Log.Write(event.PlatformBack, event.Fields{"after": time.Since(s.platformLostAt).Round(time.Millisecond).String()})
		s.platformLostAt = time.Time{}
	}
}

func (s *Session) apply(rows []platform.Row) {
	now := time.Now()
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, memberPrefix):
			s.applyMember(row, now)
		case strings.HasPrefix(row.Key, dutyPrefix):
			s.applyDuty(row)
		}
	}
}

func (s *Session) applyMember(row platform.Row, now time.Time) {
	if row.Deleted() {
		delete(s.members, row.Key)
		return
	}
	var member Member
	if json.Unmarshal(row.Value, &member) != nil {
		return
	}
	firstSeen := now
	old, known := s.members[row.Key]
	if known {
		firstSeen = old.firstSeen
	}
	s.members[row.Key] = memberRow{Member: member, version: row.Version, firstSeen: firstSeen, changedAt: now}
}

func (s *Session) applyDuty(row platform.Row) {
	var duty Record
	if json.Unmarshal(row.Value, &duty) != nil {
		return
	}
	s.setDuty(duty, row.Version)
}

// setDuty stores a duty row unless a newer version is known, and logs if this entry became or ceased to be the holder.
func (s *Session) setDuty(duty Record, version uint64) {
	old := s.duties[duty.Name]
	if version <= old.version {
		return
	}
	s.duties[duty.Name] = dutyRow{Record: duty, version: version}
	wasHolder, isHolder := old.Holder == s.Self.Incarnation, duty.Holder == s.Self.Incarnation
	switch {
	case isHolder && !wasHolder:
		s.Log.Write(event.DutyTaken, event.Fields{"duty": duty.Name, "epoch": duty.Epoch})
	case wasHolder && !isHolder:
		s.Log.Write(event.DutyLost, event.Fields{"duty": duty.Name, "epoch": old.Epoch, "reason": "another entry holds it"})
	}
}

// Live reports whether the entry's own lease is certain to be valid now, by its monotonic clock.
func (s *Session) Live() bool {
	return s.version != 0 && time.Now().Before(s.LiveUntil())
}

// LiveUntil returns the time until which the entry's own lease is certain to be valid if it is not renewed.
func (s *Session) LiveUntil() time.Time {
	return s.renewedAt.Add(s.LeaseDuration - s.LeaseDuration/leaseMarginDivisor)
}

// Members returns the members whose lease has not expired, sorted by incarnation.
func (s *Session) Members() []Member {
	return s.live(time.Now())
}

// Registered returns all members that have a row, live or lapsed, sorted by incarnation. The process of a member
// without a row is known to have ended.
func (s *Session) Registered() []Member {
	all := make([]Member, 0, len(s.members))
	for _, member := range s.members {
		all = append(all, member.Member)
	}
	sortMembers(all)
	return all
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
}

// Lease is a duty that this entry holds.
type Lease struct {
	Name  string
	Epoch uint64
	// Condition fails a transaction if another entry holds the duty by then.
	Condition platform.Condition
	// Until is the time until which this entry's lease is certain to be valid if it is not renewed.
	Until time.Time
}

// Fence returns the fence for an operation outside the table; the token makes the operation idempotent.
func (l Lease) Fence(token string) platform.Fence {
	return platform.Fence{Duty: l.Name, Epoch: l.Epoch, Token: token}
}

// Holds returns the duty if this entry holds it and the entry's own lease is certain to be valid.
func (s *Session) Holds(name string) (Lease, bool) {
	duty, ok := s.duties[name]
	if !ok || duty.Holder != s.Self.Incarnation || !s.Live() {
		return Lease{}, false
	}
	condition := platform.Condition{Key: duty.Key(), Version: duty.version}
	return Lease{Name: name, Epoch: duty.Epoch, Condition: condition, Until: s.LiveUntil()}, true
}

// Holder returns the member that holds the duty by the rows that this entry knows, and false if there is none.
func (s *Session) Holder(name string) (Member, bool) {
	holder, ok := s.members[s.duties[name].HolderKey]
	return holder.Member, ok
}

// HeldCount returns the number of duties that this entry holds.
func (s *Session) HeldCount() int {
	held := 0
	for name := range s.duties {
		_, ok := s.Holds(name)
		if ok {
			held++
		}
	}
	return held
}
