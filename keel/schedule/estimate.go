package schedule

import (
	"math"
	"time"

	"samphirekeel.example/keel/work"
)

const (
	// A model replaces the callers' estimates from minDurationSamples completed tasks on, and once it has existed for
	// minModelAge times the typical duration: the tasks that end first are the short ones.
	minDurationSamples = 32
	minModelAge        = 3
	// maxUnexplained limits the variance of the logarithm by which the mean is taken to exceed the median: a late control
	// loop makes single durations far too short.
	maxUnexplained = 1.0
	// durationWeight is the weight of a completed task in the moving averages of a model.
	durationWeight = 1.0 / 256
)

// durationModel relates the durations of tasks to the callers' estimates, by a linear regression of their logarithms over
// moving averages.
type durationModel struct {
	began   time.Duration
	samples int
	// used is set once the model has replaced estimates.
	used bool
	// meanEstimate and meanTook are the means of the logarithms of the estimates and the durations, in seconds.
	meanEstimate, meanTook float64
	// varEstimate and varTook are their variances and covariance is their covariance.
	varEstimate, varTook, covariance float64
}

// add adds a completed task.
func (m *durationModel) add(estimate, took time.Duration) {
	m.samples++
	weight := max(1/float64(m.samples), durationWeight)
	x, y := math.Log(estimate.Seconds())-m.meanEstimate, math.Log(took.Seconds())-m.meanTook
	m.meanEstimate += weight * x
	m.meanTook += weight * y
	m.varEstimate = (1 - weight) * (m.varEstimate + weight*x*x)
	m.varTook = (1 - weight) * (m.varTook + weight*y*y)
	m.covariance = (1 - weight) * (m.covariance + weight*x*y)
}

// mature reports whether the model may be used.
func (m *durationModel) mature(now time.Duration) bool {
	return m != nil && m.samples >= minDurationSamples && (now-m.began).Seconds() >= minModelAge*math.Exp(m.meanTook)
}

// expected returns the expected duration of a task with the caller's estimate.
func (m *durationModel) expected(estimate time.Duration) time.Duration {
	slope := 0.0
	if m.varEstimate > 0 {
		slope = min(1, max(0, m.covariance/m.varEstimate))
	}
	deviation := math.Log(estimate.Seconds()) - m.meanEstimate
	// The mean of a log-normal variable exceeds its median by half of the variance of the logarithm.
	unexplained := min(maxUnexplained, max(0, m.varTook-slope*m.covariance))
	return time.Duration(math.Exp(m.meanTook+slope*deviation+unexplained/2) * float64(time.Second))
}

// durationModels holds the models of one epoch.
type durationModels struct {
	byImage map[imageKey]*durationModel
	byQueue map[string]*durationModel
}

// imageKey names what the tasks of a queue's step run.
type imageKey struct{ queue, image string }

func (m *durationModels) init() {
	m.byImage, m.byQueue = make(map[imageKey]*durationModel), make(map[string]*durationModel)
}

// estimate returns the expected duration of the step's tasks: that of the tasks of its image, of its queue, or the
// caller's estimate, whichever is known first.
func (m *durationModels) estimate(queue string, step *work.Step, now time.Duration) time.Duration {
	if step.Estimate <= 0 || step.LongRunning {
		return step.Estimate
	}
	byImage := m.byImage[imageKey{queue, step.Image}]
	if byImage.mature(now) {
		return byImage.expected(step.Estimate)
	}
	byQueue := m.byQueue[queue]
	if byQueue.mature(now) {
		return byQueue.expected(step.Estimate)
	}
	return step.Estimate
}

// recordDuration adds the duration of a completed run to the models, unless it isn't known in full or depended on where or
// from which checkpoint the task ran.
func (s *Scheduler) recordDuration(r *run, took time.Duration) {
	t := r.task
	spec, queue := t.step.spec, t.job().Queue
	remote := spec.DataRack != "" && spec.DataRack != r.worker.Rack
	if took <= 0 || spec.Estimate <= 0 || spec.LongRunning || spec.BestEffort || spec.SameRack || remote || t.latestCheckpoint() != "" {
		return
	}
	now := s.Now()
	key := imageKey{queue, spec.Image}
	if s.durations.byImage[key] == nil {
		s.durations.byImage[key] = &durationModel{began: now - took}
	}
	model := s.durations.byQueue[queue]
	if model == nil {
		model = &durationModel{began: now - took}
		s.durations.byQueue[queue] = model
	}
	s.observeDuration(r, took, s.durations.estimate(queue, spec, now))
	s.durations.byImage[key].add(spec.Estimate, took)
	model.add(spec.Estimate, took)
	if !model.used && model.mature(now) && t.job().pool != nil {
		model.used = true
		s.estimateAgain(t.job().pool, queue)
	}
}

// estimateAgain estimates the open jobs of the queue again.
func (s *Scheduler) estimateAgain(p *pool, queue string) {
	for j := range p.jobs {
		if j.Queue == queue {
			s.estimate(j)
			j.touch()
		}
	}
}

// estimate sets the estimates of the job and of its occurrences.
func (s *Scheduler) estimate(j *job) {
	now := s.Now()
	j.estimates = make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		j.estimates[i] = s.durations.estimate(j.Queue, &j.Steps[i], now)
	}
	paths := criticalPaths(j.Steps, j.estimates)
	j.criticalPath = 0
	for _, path := range paths {
		j.criticalPath = max(j.criticalPath, path)
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for i, step := range o.steps {
			step.estimate, step.criticalPath = j.estimates[i], paths[i]
		}
	}
}

// criticalPaths returns for each step the estimated time from its start to the end of the longest chain of steps that
// depend on it.
func criticalPaths(steps []work.Step, estimates []time.Duration) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += estimates[i]
		for _, earlier := range steps[i].After {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}
