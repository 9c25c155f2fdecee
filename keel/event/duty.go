package event

import "github.com/sirupsen/logrus"

// The events of duties, members and the platform.
const (
	DutyTaken ID = 900 + iota
	DutyLost
	PlatformLost
	PlatformBack
	MemberLapsed
	SessionEnded
	MemberForgotten
)

var dutyEvents = []Definition{
	{DutyTaken, "duty_taken", logrus.InfoLevel, "this entry acquires the lease of a duty", []string{"duty", "epoch"}},
	{DutyLost, "duty_lost", logrus.WarnLevel, "this entry no longer holds the lease of a duty", []string{"duty", "epoch", "reason"}},
	{PlatformLost, "platform_lost", logrus.WarnLevel, "the platform does not respond", []string{"reason"}},
	{PlatformBack, "platform_back", logrus.InfoLevel, "the platform responds again", []string{"after"}},
	{MemberLapsed, "member_lapsed", logrus.WarnLevel, "this entry marks a member that did not renew its row within its lease as lapsed, and redistributes its duties", []string{"incarnation", "duties"}},
	{SessionEnded, "session_ended", logrus.WarnLevel, "another entry ended this entry's membership; it joins again under a new incarnation", []string{"incarnation", "next"}},
	{MemberForgotten, "member_forgotten", logrus.InfoLevel, "an operator declares that a lapsed entry has ended for good, and its row is removed", []string{"incarnation", "operator"}},
}
