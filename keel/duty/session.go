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

// marginDivisor is the part of its lease that an entry doesn't use itself, for drift of its clock.
const marginDivisor = 5

// timeoutDivisor is the part of the interval by which a call of the platform ends before it.
const timeoutDivisor = 16

// Session is the membership of one entry and the duties that it holds; it belongs to the control loop.
type Session struct {
	Client *platform.Client
	Loop   *control.Loop
	Log    *event.Log
	// Self is the entry's own member row.
	Self Member
	// LeaseDuration is the time after its last renewal for which a member counts as live.
	LeaseDuration time.Duration
	// RenewInterval is the time between renewals; a call of the platform ends within it.
	RenewInterval time.Duration
	// PollInterval is the time between looks at the other members.
	PollInterval time.Duration
	// DutyNames returns the names of the duties that there are.
	DutyNames func() []string
	// NewIncarnation returns an incarnation that was never used, for a session that another entry ended.
	NewIncarnation func() string

	cache   *watch.Cache
	members map[string]seen
	duties  map[string]record
	// version is the version of the own member row, 0 before it is registered.
	version uint64
	// renewed is when the last renewal that took effect was sent, and steady when the first of an unbroken row was.
	renewed, steady, sent time.Time
	// polled is when the last look at the members that was answered was sent.
	polled time.Time
	// lost is when the platform stopped answering, zero while it answers.
	lost    time.Time
	busy    bool
	leaving bool
}

// seen is a member with the times at which its row was first seen and last seen to change.
type seen struct {
	Member
	version   uint64
	first, at time.Time
}

type record struct {
	Record
	version uint64
}

// Start begins renewing; it is called on the loop.
func (s *Session) Start() {
	s.cache = watch.New(Prefix)
	s.members = make(map[string]seen)
	s.duties = make(map[string]record)
	s.Loop.Every(s.PollInterval, s.step)
}

// step renews the membership when that is due, looks at the members, and then acts on what it saw.
func (s *Session) step() {
	if s.busy || s.leaving {
		return
	}
	s.busy = true
	if time.Since(s.sent) < s.RenewInterval && s.sent.Equal(s.renewed) || !s.reads() {
		s.look()
		return
	}
	s.renew()
}

// callTimeout bounds one call of the platform; it ends before the step that is due an interval after the call.
func (s *Session) callTimeout() time.Duration {
	return s.RenewInterval - s.RenewInterval/timeoutDivisor
}

// reads reports whether the table answers reads; an entry that can't see duties must not keep them.
func (s *Session) reads() bool {
	return s.version == 0 || time.Since(s.polled) < s.LeaseDuration
}

func (s *Session) renew() {
	s.sent = time.Now()
	sent := s.sent
	next := s.Self
	next.Beat++
	txn := platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{{Key: s.Self.Key(), Version: s.version}},
		Writes:     []platform.Write{encode(next.Key(), next)},
	}
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.CommitResult, error) { return s.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			s.renewDone(sent, next, result, err)
			s.look()
		})
}

func (s *Session) renewDone(sent time.Time, next Member, result platform.CommitResult, err error) {
	if err == nil {
		s.Self = next
		s.version = result.Version
		if !s.Live() {
			s.steady = sent
		}
		s.renewed = sent
		return
	}
	if fault.IsKind(err, fault.Conflict) && !s.leaving {
		s.adopt(result.Conflicts)
	}
}

// adopt tells a renewal whose answer was lost from the end of the session by another entry.
// Nobody else writes the row but to mark it as lapsed or to remove it.
func (s *Session) adopt(conflicts []platform.Row) {
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

// rejoin starts over under a new incarnation after another entry marked or removed the member row.
func (s *Session) rejoin() {
	for name, held := range s.duties {
		if held.Holder == s.Self.Incarnation {
			s.Log.Write(event.DutyLost, event.Fields{"duty": name, "epoch": held.Epoch, "reason": "member row was marked as lapsed"})
		}
	}
	ended := s.Self.Incarnation
	s.Self.Incarnation = s.NewIncarnation()
	s.Self.Beat = 0
	s.version = 0
	s.renewed = time.Time{}
	s.Log.Write(event.SessionEnded, event.Fields{"incarnation": ended, "next": s.Self.Incarnation})
}

// look reads what changed in the rows of members and duties.
func (s *Session) look() {
	sent := time.Now()
	after := s.cache.Through()
	control.Call(s.Loop, s.callTimeout(),
		func(ctx context.Context) (platform.ScanResult, error) {
			return s.Client.Scan(ctx, platform.ScanRequest{Prefix: Prefix, After: after})
		},
		func(result platform.ScanResult, err error) {
			s.noteAnswer(err)
			if err != nil {
				s.busy = false
				return
			}
			s.apply(s.cache.Apply(after, result))
			if result.More {
				s.look()
				return
			}
			s.polled = sent
			s.act(sent)
		})
}

// noteAnswer logs when the platform stops answering looks and when it answers again.
func (s *Session) noteAnswer(err error) {
	switch {
	case err != nil && s.lost.IsZero():
		s.lost = time.Now()
		s.Log.Write(event.PlatformLost, event.Fields{"reason": err.Error()})
	case err == nil && !s.lost.IsZero():
		s.Log.Write(event.PlatformBack, event.Fields{"after": time.Since(s.lost).Round(time.Millisecond).String()})
		s.lost = time.Time{}
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
	first := now
	old, known := s.members[row.Key]
	if known {
		first = old.first
	}
	s.members[row.Key] = seen{Member: member, version: row.Version, first: first, at: now}
}

func (s *Session) applyDuty(row platform.Row) {
	var duty Record
	if json.Unmarshal(row.Value, &duty) != nil {
		return
	}
	s.setDuty(duty, row.Version)
}

// setDuty takes in a duty's row unless a newer one is known, and logs a change of holder that concerns this entry.
func (s *Session) setDuty(duty Record, version uint64) {
	old := s.duties[duty.Name]
	if version <= old.version {
		return
	}
	s.duties[duty.Name] = record{Record: duty, version: version}
	was, is := old.Holder == s.Self.Incarnation, duty.Holder == s.Self.Incarnation
	switch {
	case is && !was:
		s.Log.Write(event.DutyTaken, event.Fields{"duty": duty.Name, "epoch": duty.Epoch})
	case was && !is:
		s.Log.Write(event.DutyLost, event.Fields{"duty": duty.Name, "epoch": old.Epoch, "reason": "another entry holds it"})
	}
}

// Live reports whether the entry's own lease is certain to hold still, by its monotonic clock.
func (s *Session) Live() bool {
	return s.version != 0 && time.Now().Before(s.LiveUntil())
}

// LiveUntil returns the time up to which the entry's own lease is certain to hold unless it is renewed.
func (s *Session) LiveUntil() time.Time {
	return s.renewed.Add(s.LeaseDuration - s.LeaseDuration/marginDivisor)
}

// Members returns the members whose lease has not run out, in order.
func (s *Session) Members() []Member {
	return s.live(time.Now())
}

// Registered returns every member that has a row, live or not, in order; one without a row is known to be gone.
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
	// Condition makes a transaction fail once another entry holds the duty.
	Condition platform.Condition
	// Until is the time up to which this entry's lease is certain to hold unless it is renewed.
	Until time.Time
}

// Fence returns the fence for an effect outside the table.
func (h Lease) Fence(token string) platform.Fence {
	return platform.Fence{Duty: h.Name, Epoch: h.Epoch, Token: token}
}

// Holds returns the duty if this entry holds it and its own lease is certain to hold still.
func (s *Session) Holds(name string) (Lease, bool) {
	duty, ok := s.duties[name]
	if !ok || duty.Holder != s.Self.Incarnation || !s.Live() {
		return Lease{}, false
	}
	condition := platform.Condition{Key: duty.Key(), Version: duty.version}
	return Lease{Name: name, Epoch: duty.Epoch, Condition: condition, Until: s.LiveUntil()}, true
}

// Holder returns the member that holds the duty as far as this entry knows, and false if it knows none.
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
