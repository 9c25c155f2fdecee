package schedule

import (
	"time"

	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// doubt is a worker that was silent until its lease expired, with the jobs of the runs that may have crashed it.
type doubt struct {
	// boot is the boot that was silent.
	boot     worker.Boot
	instance string
	since    time.Duration
	jobs     map[*job]bool
}

func (s *Scheduler) addDoubt(c work.CrashedRun, j *job) {
	d := s.doubts[c.Worker]
	if d == nil {
		d = &doubt{boot: worker.Boot{ID: c.Worker, Started: c.Started}, instance: c.Instance, since: s.Now(), jobs: make(map[*job]bool)}
		s.doubts[c.Worker] = d
	}
	d.jobs[j] = true
}

// resolveDoubt applies that the worker has crashed, or that it hasn't or that it will never be known.
func (s *Scheduler) resolveDoubt(id string, crashed bool) {
	d := s.doubts[id]
	if d == nil {
		return
	}
	delete(s.doubts, id)
	for j := range d.jobs {
		if !j.open() {
			continue
		}
		s.keepCrashes(j, func(c *work.CrashedRun) bool {
			if c.Worker == id && c.Unconfirmed {
				c.Unconfirmed = false
				return crashed
			}
			return true
		})
		s.checkAttempts(j)
	}
	s.schedulePlan()
}

// resolveListedDoubts resolves the doubts that an instance list, requested at the time sent, answers.
func (s *Scheduler) resolveListedDoubts(sent time.Duration) {
	for id, d := range s.doubts {
		i, listed := s.fleet.instances[d.instance]
		switch {
		case d.since+listLag > sent:
		case !listed:
			if s.fleet.isGone(d.instance) {
				s.resolveDoubt(id, false)
			}
		case i.State == provider.Down || i.State == provider.Up && s.isOtherBoot(i.Worker, d.boot):
			s.resolveDoubt(id, true)
		default:
			s.resolveDoubt(id, false)
		}
	}
}

// isOtherBoot reports whether the worker that the instance list shows is another one than the boot, or another boot of the same one by
// its registration.
func (s *Scheduler) isOtherBoot(id string, boot worker.Boot) bool {
	stored := s.registrations[id]
	return id != boot.ID || stored.Boot().IsOther(boot)
}

// resolveReplacedDoubt applies that a worker has registered on the instance of one that was silent and isn't registered.
func (s *Scheduler) resolveReplacedDoubt(r worker.Registration) {
	for id, d := range s.doubts {
		_, registered := s.registrations[id]
		if id != r.ID && d.instance == r.Instance && r.Instance != "" && !registered {
			s.resolveDoubt(id, true)
		}
	}
}

// mayHaveCrashed reports whether nothing shows that the silent worker is alive: no instance list that was requested well
// after its last response has it.
func (w *workerState) mayHaveCrashed() bool {
	return w.unresponsiveSince != 0 && w.listedUpAt < w.unresponsiveSince+listLag
}
