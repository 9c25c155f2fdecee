package emulator

import "time"

// idleTail is the tail latency of an undisturbed task that serves users, as a share of its target.
const idleTail = 0.5

// SetSlowdown makes runs of an image take factor times as long, and their tail factor times as long, beside a run of
// another image at full speed on the same worker; 1 ends that.
func (f *Fleet) SetSlowdown(image, by string, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.updateLocked()
	}
	if f.slowdowns == nil {
		f.slowdowns = make(map[[2]string]float64)
	}
	f.slowdowns[[2]string{image, by}] = factor
}

// slowdown returns the factor by which the runs beside it slow a run down; with reserved, best-effort runs don't count.
func (w *Worker) slowdown(r *run, reserved bool) float64 {
	factor := 1.0
	if len(w.fleet.slowdowns) == 0 {
		return factor
	}
	strongest := make(map[string]float64)
	for _, other := range w.runs {
		ratio := w.fleet.slowdowns[[2]string{r.step.Image, other.step.Image}]
		if other != r && ratio > 1 && (!reserved || !other.step.BestEffort) {
			strongest[other.step.Image] = max(strongest[other.step.Image], 1+(ratio-1)*other.cpuShare)
		}
	}
	for _, ratio := range strongest {
		factor *= ratio
	}
	return factor
}

// load returns what the worker reports as the load of a run: the tail latency of a task that serves users, in milliseconds,
// else nothing.
func (w *Worker) load(r *run) float64 {
	if r.step.LatencyTarget <= 0 || !r.serving {
		return -1
	}
	return idleTail * w.slowdown(r, false) * float64(r.step.LatencyTarget.Milliseconds())
}

// isHarmed reports whether best-effort runs that work on keep a task that serves users over its target.
func (w *Worker) isHarmed(r *run) bool {
	if r.step.LatencyTarget <= 0 || !r.serving {
		return false
	}
	return idleTail*w.slowdown(r, false) > 1 && idleTail*w.slowdown(r, true) <= 1
}

// checkHarm reports each task that best-effort tasks have kept over its target for longer than MaxSlowdown.
func (c *Checker) checkHarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, w := range c.fleet.workers {
		for _, r := range w.runs {
			switch {
			case w.ended || w.unreachable || c.activeFaults > 0 || !w.isHarmed(r):
				r.harmedSince = time.Time{}
			case r.harmedSince.IsZero():
				r.harmedSince = now
			case now.Sub(r.harmedSince) > c.MaxSlowdown:
				c.reportLocked("task %s was over its target for %s because of best-effort tasks on worker %s", r.task, now.Sub(r.harmedSince), w.id)
				r.harmedSince = now
			}
		}
	}
}
