package schedule

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// unavailability is the reason why a worker gets no tasks, empty if it may get some.
type unavailability string

const (
	notRegistered    unavailability = "not_registered"
	notFenced        unavailability = "not_fenced"
	notInRoster      unavailability = "not_in_roster"
	leaseEndRecorded unavailability = "lease_end_recorded"
	isDraining       unavailability = "draining"
	hasOrderPending  unavailability = "instance_order_pending"
	isUnresponsive   unavailability = "unresponsive"
	hasOrphans       unavailability = "runs_without_job"
	hasLateStarts    unavailability = "late_starts"
	hasEndedBoot     unavailability = "booted_again"
	hasStartInDoubt  unavailability = "start_in_doubt"
	isAvoided        unavailability = "avoided"
	isCordoned       unavailability = "maintenance_due"
	hasFailures      unavailability = "failures"
	isReclaimed      unavailability = "reclaimed"
	hasIsolatedRuns  unavailability = "isolated_runs"
	isReserved       unavailability = "reserved"
)

// usable reports whether the worker may get tasks.
func (s *Scheduler) usable(w *workerState, now time.Duration) bool {
	return s.unusableFor(w, now) == ""
}

// unusableFor returns why the worker gets no tasks.
func (s *Scheduler) unusableFor(w *workerState, now time.Duration) unavailability {
	switch reason := s.unavailableFor(w, now); {
	case reason != "":
		return reason
	case now < w.failingUntil:
		return hasFailures
	case now < w.reclaimedUntil:
		return isReclaimed
	}
	return ""
}

// healthy reports whether the worker may get tasks, apart from being reclaimed.
func (s *Scheduler) healthy(w *workerState, now time.Duration) bool {
	return now >= w.failingUntil && s.available(w, now)
}

// available reports whether the worker may get tasks, apart from being reclaimed and from failures on it.
func (s *Scheduler) available(w *workerState, now time.Duration) bool {
	return s.unavailableFor(w, now) == ""
}

// unavailableFor returns why the worker gets no tasks, apart from being reclaimed and from failures on it.
func (s *Scheduler) unavailableFor(w *workerState, now time.Duration) unavailability {
	switch reason := s.unavailableForAll(w, now); {
	case reason != "":
		return reason
	case w.isolated > 0:
		return hasIsolatedRuns
	case now < w.reservedUntil:
		return isReserved
	}
	return ""
}

// unavailableForAll returns why the worker gets no tasks, suspected ones included, apart from being reclaimed and from failures
// on it.
func (s *Scheduler) unavailableForAll(w *workerState, now time.Duration) unavailability {
	switch {
	case !w.registered || w.removed:
		return notRegistered
	case w.unresponsiveSince != 0:
		return isUnresponsive
	case !w.fenced:
		return notFenced
	case !w.rostered:
		return notInRoster
	case w.leaseEndStored:
		return leaseEndRecorded
	case w.Draining:
		return isDraining
	case w.orderPending:
		return hasOrderPending
	case len(w.orphans) > 0:
		return hasOrphans
	case len(s.lateStarts[w.ID]) > 0:
		return hasLateStarts
	case !w.isBootSettled() || w.Registration.Boot().IsOther(w.boot):
		// A later boot may be of another kind than its registration says that is read first.
		return hasEndedBoot
	case w.startUnsettled:
		return hasStartInDoubt
	}
	return w.avoidance(now)
}

// avoidance returns why new tasks are kept off a worker that could get some, empty if they aren't.
func (w *workerState) avoidance(now time.Duration) unavailability {
	switch {
	case now < w.avoidUntil:
		return isAvoided
	case now < w.cordonedUntil:
		return isCordoned
	}
	return ""
}

// countWorkers returns the number of the pool's usable workers, and of the others by reason, formatted for the log. The pool
// is nil for jobs without one.
func (s *Scheduler) countWorkers(p *pool, now time.Duration) (usable int, others string) {
	if p == nil {
		return 0, ""
	}
	counts := make(map[unavailability]int)
	for w := range p.workers {
		counts[s.unusableFor(w, now)]++
	}
	usable = counts[""]
	delete(counts, "")
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, counts[reason]))
	}
	return usable, strings.Join(parts, " ")
}
