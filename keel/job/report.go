package job

import (
	"context"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

// reportInterval is the minimum time between two reads of the task reports of a data centre.
const reportInterval = 500 * time.Millisecond

// reportDelay is the time from the platform calls of a poll to the read of task reports.
const reportDelay = 500 * time.Microsecond

// pollReports reads the pool's task reports in the data centres where the pool has tasks.
func (s *poolScheduler) pollReports() {
	if s.loadedAt.IsZero() || !s.holdsDuty() {
		return
	}
	dataCentres := make(map[string]bool)
	for key := range s.tasks {
		job, ok := s.jobs.Get(key)
		if ok {
			dataCentres[instance.DataCentreOf(job.Value.Worker)] = true
		}
	}
	for _, dataCentre := range sortedKeys(dataCentres) {
		read := s.reportReads[dataCentre]
		if read == nil {
			read = &reportRead{}
			s.reportReads[dataCentre] = read
		}
		if !read.inFlight && time.Since(read.startedAt) >= reportInterval {
			s.readReports(dataCentre, read)
		}
	}
}

func (s *poolScheduler) readReports(dataCentre string, read *reportRead) {
	read.inFlight = true
	read.startedAt = time.Now()
	request := platform.UsageRequest{DataCentre: dataCentre, After: read.readThrough, Prefix: s.pool + "/"}
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.UsageResult, error) { return s.c.Client.Usage(ctx, request) },
		func(result platform.UsageResult, err error) {
			read.inFlight = false
			if err != nil || !s.holdsDuty() {
				return
			}
			read.readThrough = max(read.readThrough, result.Through)
			for _, report := range result.Tasks {
				s.applyReport(report)
			}
			s.scheduleReconcile()
		})
}

// updateFactors updates the usage factors of the job's service from what the task used.
func (s *poolScheduler) updateFactors(job Record, used platform.Size) {
	tree := s.c.View.Settings().Tree
	path := settings.Path(job.Service)
	lowest := int64(tree.Float(path, settings.JobMinFactor) * perMille)
	highest := int64(tree.Float(path, settings.JobMaxFactor) * perMille)
	before := s.factors[job.Service]
	next := before.Observe(job.Size, used, lowest, highest)
	if next == before {
		return
	}
	s.factors[job.Service] = next
	if next.Apply(job.Size) != before.Apply(job.Size) {
		s.c.Log.Write(event.SizeLearned, event.Fields{
			"service": job.Service, "job": job.ID, "declared": sizeText(job.Size), "used": sizeText(used),
			"held_next": sizeText(next.Apply(job.Size)),
		})
	}
}

// applyReport updates the task's state from its report; a report of an earlier attempt is ignored.
func (s *poolScheduler) applyReport(report platform.TaskReport) {
	key := jobKeyOfTask(report.Task)
	task := s.tasks[key]
	found, ok := s.jobs.Get(key)
	if task == nil || !ok || found.Value.Task() != report.Task {
		return
	}
	s.updateFactors(found.Value, report.Used)
	if report.Checkpoint != "" {
		task.checkpoint = report.Checkpoint
	}
	if report.State == platform.TaskRunning {
		task.started = true
		return
	}
	task.finalReport = &report
}
