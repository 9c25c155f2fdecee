package schedule

import (
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/interference"
)

const (
	// tailInterval is the time that the load of a run covers, so that samples at least that far apart are different ones.
	tailInterval = 500 * time.Millisecond
	// tailWeight is the weight of a sample of a run that serves users against that of a whole run: the samples of one run
	// depend on one another.
	tailWeight = 0.25
	// A worker on which a pair meets is costlier by separationCost times the slowdown, at most by maxSeparationCost. Beside that the
	// worker's free share counts by separatedShare only. Together they stay below remoteDataCentreCost: the pair doesn't send the
	// task to another data centre, nor to a wrong rack.
	separationCost    = 1.5
	maxSeparationCost = 0.65
	separatedShare    = 0.3
)

// separation keeps tasks apart that slow each other down on one worker. It is empty for a scheduler that doesn't.
type separation struct {
	table *interference.Table
	// conflicts holds, by image, the images with which it forms a pair that was found.
	conflicts map[string][]conflict
}

// conflict is an image beside which tasks of another one slow down, or are slowed down, by a share.
type conflict struct {
	image    string
	slowdown float64
}

func (sep *separation) init(s *Scheduler) {
	if !s.SeparateImages || s.Bounds.MaxSlowdownTime <= 0 {
		return
	}
	sep.table = interference.New()
	sep.table.OnChange = func(p interference.Pair, found bool) {
		id := event.PairDropped
		if found {
			id = event.PairFound
		}
		s.Log.Write(id, event.Fields{"slowed": p.Slowed, "by": p.By, "slowdown": p.Slowdown, "errors": p.Errors, "exposures": p.Exposures})
		sep.updateConflicts()
		s.Metrics.setPairs(len(sep.table.Pairs()))
	}
}

func (sep *separation) updateConflicts() {
	sep.conflicts = make(map[string][]conflict)
	for _, p := range sep.table.Pairs() {
		sep.conflicts[p.Slowed] = append(sep.conflicts[p.Slowed], conflict{p.By, p.Slowdown})
		if p.By != p.Slowed {
			sep.conflicts[p.By] = append(sep.conflicts[p.By], conflict{p.Slowed, p.Slowdown})
		}
	}
}

// separationCost returns the cost of a worker on which tasks run that slow those of the step down, or are slowed down by
// them. It only ranks workers that have room. It rises with their number, so that two images that are mixed on all workers
// drift apart.
func (s *Scheduler) separationCost(step *stepState, w *workerState) float64 {
	sum := 0.0
	for _, c := range s.separation.conflicts[step.spec.Image] {
		n := float64(w.images[c.image])
		sum += separationCost * c.slowdown * n / (n + 1)
	}
	return min(maxSeparationCost, sum)
}

// countImage adds n to the number of the worker's runs of the step's image.
func (w *workerState) countImage(step *stepState, n int) {
	if step.spec.BestEffort {
		w.bestEffort += n
	}
	image := step.spec.Image
	if image == "" {
		return
	}
	if w.images == nil {
		w.images = make(map[string]int)
	}
	w.images[image] += n
	if w.images[image] == 0 {
		delete(w.images, image)
	}
}

// sortedImages returns the images of the worker's runs in order.
func (w *workerState) sortedImages() []string { return slices.Sorted(maps.Keys(w.images)) }

// noteStart returns the images on the worker, and the used share of it, before a run of the step starts there.
func (s *Scheduler) noteStart(step *stepState, w *workerState) (beside []string, use float64) {
	image := step.spec.Image
	if s.separation.table == nil || image == "" {
		return nil, 0
	}
	if len(s.separation.conflicts[image]) > 0 {
		s.Metrics.addSeparatedStart(s.separationCost(step, w) == 0)
	}
	return w.sortedImages(), w.use()
}

// use returns the share of the worker's processor time that its runs reserve.
func (w *workerState) use() float64 { return share(w.used.MilliCores, w.Capacity.MilliCores) }

// hardware names the instance of a worker, which keeps its speed from one worker to the next.
func (w *workerState) hardware() string {
	if w.Instance != "" {
		return w.Instance
	}
	return w.ID
}

// observeDuration adds a completed run to the table. The run is no longer among the worker's.
func (s *Scheduler) observeDuration(r *run, took, expected time.Duration) {
	image := r.task.step.spec.Image
	if s.separation.table == nil || image == "" || expected <= 0 {
		return
	}
	s.separation.table.Add(interference.Observation{
		Image: image, Worker: r.worker.hardware(), Ratio: took.Seconds() / expected.Seconds(), Weight: 1,
		Use: (r.useAtStart + r.worker.use()) / 2, Neighbours: neighbours(r.besideAtStart, r.worker.sortedImages()),
	}, s.Now())
}

// neighbours returns the images that were beside a run at its start, at its end or at both.
func neighbours(atStart, atEnd []string) []interference.Neighbour {
	const half = 0.5
	all := make([]interference.Neighbour, 0, len(atStart)+len(atEnd))
	for _, image := range slices.Concat(atStart, atEnd) {
		all = append(all, interference.Neighbour{Image: image, Share: half})
	}
	return all
}

// servesUsers reports whether the run is one of a long-running task with an objective for its tail latency.
func (r *run) servesUsers() bool {
	spec := r.task.step.spec
	return spec.LongRunning && spec.LatencyTarget > 0 && !spec.BestEffort
}

// observeTail adds the tail latency of a run that serves users to the table.
func (s *Scheduler) observeTail(r *run, now time.Duration) {
	spec := r.task.step.spec
	if s.separation.table == nil || spec.Image == "" || !r.servesUsers() || r.load < 0 || r.awaitingEndSince != 0 || now-r.sampledAt < tailInterval {
		return
	}
	r.sampledAt = now
	speeds := make(map[string]float64)
	for _, other := range r.worker.runs {
		image := other.task.step.spec.Image
		if other != r && image != "" {
			speeds[image] = max(speeds[image], float64(other.speedPercent)/fullSpeedPercent)
		}
	}
	all := make([]interference.Neighbour, 0, len(speeds))
	for _, image := range slices.Sorted(maps.Keys(speeds)) {
		all = append(all, interference.Neighbour{Image: image, Share: speeds[image]})
	}
	s.separation.table.Add(interference.Observation{
		Image: spec.Image, Worker: r.worker.hardware(), Ratio: r.tailShare(), Weight: tailWeight,
		Use: r.worker.use(), Neighbours: all,
	}, now)
}
