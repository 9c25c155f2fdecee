package event

import "github.com/sirupsen/logrus"

// The events of workers that boot again under their ID.
const (
	WorkerRestarted ID = 1200 + iota
	RestartLostTask
	RegistrationOutdated
	LateStartsPossible
)

var bootEvents = []Definition{
	{WorkerRestarted, "worker_restarted", logrus.InfoLevel, "a worker's list of runs shows that it has booted again under its ID since its last one; started and previous_started are in milliseconds since 1970, runs counts the runs recorded there before, left tells that it ended by an order", []string{"worker", "instance", "pool", "started", "previous_started", "runs", "ends_not_stored", "alive_ms", "left"}},
	{RestartLostTask, "restart_lost_task", logrus.InfoLevel, "a run has ended with the boot of its worker that began at started; in_doubt tells that its start had no response, so that the worker must first accept its stop", []string{"task", "run", "worker", "started", "in_doubt"}},
	{RegistrationOutdated, "registration_outdated", logrus.InfoLevel, "the registration of an earlier boot of a worker is ignored, since a later boot responds", []string{"worker", "started", "present_started", "sequence"}},
	{LateStartsPossible, "late_starts_possible", logrus.InfoLevel, "orders to start runs that had no response may be carried out by the worker's present boot, which gets no tasks before it has accepted orders to stop them", []string{"worker", "started", "starts"}},
}
