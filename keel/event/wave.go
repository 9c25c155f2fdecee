package event

import "github.com/sirupsen/logrus"

// The events of waves.
const (
	WaveStarted ID = 700 + iota
	WaveChanged
	WaveInstanceRebooted
	WaveInstanceReturned
	WaveInstanceLost
	WaveWaiting
	WaveDone
	WaveRefused
)

var waveEvents = []Definition{
	{WaveStarted, "wave_started", logrus.InfoLevel, "a maintenance wave starts", []string{"wave", "pools", "instances"}},
	{WaveChanged, "wave_changed", logrus.InfoLevel, "an operator pauses, resumes or aborts a wave", []string{"wave", "state", "author"}},
	{WaveInstanceRebooted, "wave_instance_rebooted", logrus.InfoLevel, "the platform accepted the reboot of a drained instance", []string{"wave", "instance"}},
	{WaveInstanceReturned, "wave_instance_returned", logrus.InfoLevel, "a rebooted instance is in service again", []string{"wave", "instance", "boot"}},
	{WaveInstanceLost, "wave_instance_lost", logrus.WarnLevel, "an instance did not return from its reboot in time and counts as failed", []string{"wave", "instance"}},
	{WaveWaiting, "wave_waiting", logrus.InfoLevel, "instances of a pool start to wait for their maintenance, for the given reason", []string{"pool", "reason", "instances"}},
	{WaveDone, "wave_done", logrus.InfoLevel, "every instance of a wave is maintained or lost", []string{"wave", "instances", "lost"}},
	{WaveRefused, "wave_refused", logrus.WarnLevel, "the table or the platform rejected a step of a wave, which is retried", []string{"subject", "reason"}},
}
