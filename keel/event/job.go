package event

import "github.com/sirupsen/logrus"

// The events of jobs.
const (
	JobPlaced ID = 800 + iota
	JobWaits
	JobStarted
	JobEnded
	JobRequeued
	JobMakesRoom
	WorkerQuarantined
	JobAccepted
	SizeLearned
	JobSuspected
)

var jobEvents = []Definition{
	{JobPlaced, "job_placed", logrus.InfoLevel, "a job is placed on a worker; left is the free milli-cores, memory in MB and accelerators", []string{"job", "worker", "attempt", "reason", "left"}},
	{JobWaits, "job_waits", logrus.InfoLevel, "a job can't be placed yet", []string{"job", "reason", "size"}},
	{JobStarted, "job_started", logrus.InfoLevel, "a job's task is known to run", []string{"job", "worker", "attempt"}},
	{JobEnded, "job_ended", logrus.InfoLevel, "a job reaches its final state", []string{"job", "worker", "state", "reason"}},
	{JobRequeued, "job_requeued", logrus.InfoLevel, "a job is removed from its worker and queued again", []string{"job", "worker", "reason"}},
	{JobMakesRoom, "job_makes_room", logrus.InfoLevel, "jobs on a worker are preempted for an urgent or starved one", []string{"job", "worker", "size"}},
	{JobSuspected, "job_suspected", logrus.WarnLevel, "a worker has crashed under a job, which runs apart from others from the second crash on", []string{"job", "worker", "crashes"}},
	{WorkerQuarantined, "worker_quarantined", logrus.WarnLevel, "jobs of different services fail on a worker, which gets no jobs for a while", []string{"worker", "failures", "until"}},
	{JobAccepted, "job_accepted", logrus.InfoLevel, "a submitted job is stored as queued", []string{"job", "size"}},
	{SizeLearned, "size_learned", logrus.InfoLevel, "the size reserved for a service's jobs is adjusted to the usage of a task", []string{"service", "job", "declared", "used", "held_next"}},
}
