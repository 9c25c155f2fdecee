package emulator

import (
	"time"

	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// startAgainLocked starts a worker on an instance that was down: under the ID that the last one had if the fleet's workers keep
// theirs.
func (f *Fleet) startAgainLocked(inst *instance) {
	last := inst.previous
	if !f.SameID || last == nil || last.pool != inst.pool || inst.vanished {
		f.startWorkerLocked(inst)
		return
	}
	inst.state = provider.Up
	f.rebootLocked(inst, last, time.Now().UnixMilli())
}

// rebootLocked starts a worker under the ID and at the address of the last one. Its clock and the numbers of its ends begin anew.
func (f *Fleet) rebootLocked(inst *instance, last *Worker, started int64) {
	w := f.newWorkerLocked(inst, last.id, last.address)
	w.laterBoot = true
	w.started, w.unreachable, w.silent, w.disturbed = started, last.unreachable, last.silent, last.disturbed
	f.bootLocked(w)
}

// Restart ends the instance's worker, which says when it booted, and starts it again at once under its ID, as one that booted at
// the time, in milliseconds since 1970. The instance list doesn't show that.
func (f *Fleet) Restart(id string, started int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inst := f.instances[id]
	last := inst.worker
	if last == nil || f.stopped {
		return
	}
	last.updateLocked()
	f.Checker.recordCrash(last)
	inst.previous = last
	last.endLocked()
	f.rebootLocked(inst, last, started)
}

// RegisterEarlierBoot writes the registration of the last worker of the instance once more, like a write that was delayed.
func (f *Fleet) RegisterEarlierBoot(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].previous.register()
}

// successorLocked returns the worker that runs under the ID and at the address of one that has ended, or nil.
func (w *Worker) successorLocked() *Worker {
	next := w.fleet.workers[w.address]
	if next == nil || next.ended || next.id != w.id {
		return nil
	}
	return next
}

// removeRegistrationLocked removes the registration of a worker that has ended or is silent, unless a later boot has written it.
func (f *Fleet) removeRegistrationLocked(w *Worker) {
	next := w.successorLocked()
	if next == nil || next == w {
		f.store.Remove(w.key())
	}
}

// expireRegistration removes the worker's registration after registrationTTLHeartbeats.
func (f *Fleet) expireRegistration(w *Worker) {
	time.AfterFunc(registrationTTLHeartbeats*f.Times.Heartbeat, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.removeRegistrationLocked(w)
	})
}

// unheardTime is the time from a boot's first response to a renewal until it has got the orders that follow from it.
const unheardTime = 150 * time.Millisecond

// recordHeard records that a scheduler has got a response to a renewal.
func (f *Fleet) recordHeard(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.heardAt.IsZero() {
		w.heardAt = time.Now()
	}
}

// stopRepeatTime is the time from an order to stop a run that is lost until it has been sent again and carried out: its timeout
// and the pause before the next one.
const stopRepeatTime = 600 * time.Millisecond

// lostStop is an order to stop a run that the emulator carries out late.
type lostStop struct {
	run int64
	at  time.Time
}

// noteLostStop records that an order to stop a run is carried out late.
func (w *Worker) noteLostStop(o worker.StopOrder) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.lostStops == nil {
		w.lostStops = make(map[work.TaskID]lostStop)
	}
	w.lostStops[o.Task] = lostStop{run: o.Run, at: time.Now()}
}

// startsUnasked reports whether the worker carries out a late order that an earlier boot got, before any scheduler can have told
// the present one that it is void: the worker hasn't been heard for long enough, or the order that tells it was lost.
func (w *Worker) startsUnasked(o worker.StartOrder) bool {
	if !w.executesLate || !w.laterBoot {
		return false
	}
	if w.heardAt.IsZero() || time.Since(w.heardAt) < unheardTime {
		return true
	}
	stop, ok := w.lostStops[o.Task]
	return ok && stop.run >= o.Run && time.Since(stop.at) < stopRepeatTime
}
