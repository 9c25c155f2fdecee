package emulator

import "time"

// Vanish takes an instance away for good, for example by a loss of power. Its registration stays for the time registered,
// and the instance list shows it as up with its worker for the time listed.
func (f *Fleet) Vanish(id string, registered, listed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inst := f.instances[id]
	inst.vanished = true
	w := inst.worker
	if w != nil {
		w.endLocked()
		time.AfterFunc(registered, func() { f.store.Remove(w.key()) })
	}
	time.AfterFunc(listed, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.instances, id)
	})
}

// ReuseAddress adds a healthy instance to another pool, whose worker gets the address of the worker of an instance that
// has vanished and is still listed; it does nothing if that instance had no worker.
func (f *Fleet) ReuseAddress(vanished, id, pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.instances[vanished]
	if old == nil || old.worker == nil || f.stopped {
		return
	}
	inst := &instance{id: id, pool: pool, dataCentre: old.dataCentre, rack: old.rack, capacity: old.capacity}
	f.instances[id] = inst
	f.startWorkerLocked(inst)
	if inst.worker != nil {
		delete(f.workers, inst.worker.address)
		inst.worker.address = old.worker.address
		f.workers[inst.worker.address] = inst.worker
		inst.worker.register()
	}
}

// SetUnreachable makes all calls to the current workers of the instances get no response, or ends that. Their heartbeats
// go on, and the instance list shows them as up.
func (f *Fleet) SetUnreachable(unreachable bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.withWorkersLocked(ids) {
		inst.worker.unreachable = unreachable
		inst.worker.wakeLocked()
	}
}

// SetDisturbed makes the checker not count the room of the present workers of the instances, whose calls a test disturbs, or
// ends that.
func (f *Fleet) SetDisturbed(disturbed bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.withWorkersLocked(ids) {
		inst.worker.disturbed = disturbed
	}
}

// SetSilent stops the heartbeats of the current workers of the instances, or resumes them; their registrations expire
// after registrationTTLHeartbeats.
func (f *Fleet) SetSilent(silent bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.withWorkersLocked(ids) {
		w := inst.worker
		w.silent = silent
		if !silent {
			continue
		}
		time.AfterFunc(registrationTTLHeartbeats*f.Times.Heartbeat, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.silent {
				f.store.Remove(w.key())
			}
		})
	}
}

// withWorkersLocked returns those of the instances that exist and have a worker.
func (f *Fleet) withWorkersLocked(ids []string) []*instance {
	var all []*instance
	for _, id := range ids {
		inst := f.instances[id]
		if inst != nil && inst.worker != nil {
			all = append(all, inst)
		}
	}
	return all
}

// SetServiceUnavailable makes all calls to the instance service get no response and have no effect, or ends that.
func (f *Fleet) SetServiceUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serviceUnavailable = unavailable
}

// SetListStale makes the instance service return the list of this moment until it is called with false.
func (f *Fleet) SetListStale(stale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.staleList = nil
	if stale {
		page := f.pageLocked()
		f.staleList = &page
	}
}
