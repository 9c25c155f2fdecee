package platformtest

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

// Work is the work of a fake task, as it is stored in the row of its job.
type Work struct {
	// Run is the time after which the task ends.
	Run time.Duration `json:"run_ns"`
	// Fail makes the task fail instead of finish.
	Fail bool `json:"fail"`
	// Uses is the resource use that the task reports; the zero value means its declared size.
	Uses platform.Size `json:"uses"`
}

// task is a fake task; it is guarded by the mutex of its Platform.
type task struct {
	platform.TaskReport
	expires time.Time
	starts  int
	// boot is the boot of the worker at the start of the task.
	boot uint64
}

// start starts a task; a further request with the same fence token has no effect.
func (p *Platform) start(request platform.StartRequest) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst, ok := p.fleet.instances[request.Worker]
	if !ok || inst.actual.Liveness == platform.Down {
		return nil, fault.New(fault.NotExist, "worker %s", request.Worker)
	}
	isNew, err := p.fleet.admit(request.Fence)
	if err != nil || !isNew {
		return platform.Empty{}, err
	}
	var work Work
	_ = json.Unmarshal(request.Work, &work)
	old := p.tasks[request.Task]
	t := &task{expires: time.Now().Add(request.Lease), starts: 1, boot: inst.actual.Boot}
	if old != nil {
		t.starts = old.starts + 1
	}
	t.Worker, t.Task, t.State, t.Used = request.Worker, request.Task, platform.TaskRunning, work.Uses
	if t.Used == (platform.Size{}) {
		t.Used = request.Size
	}
	p.tasks[request.Task] = t
	p.publishReport(t)
	failed := work.Fail || p.failing[request.Worker]
	time.AfterFunc(work.Run, func() { p.finish(t, failed) })
	p.scheduleLeaseExpiry(t, request.Lease)
	return platform.Empty{}, nil
}

func (p *Platform) finish(t *task, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.State != platform.TaskRunning {
		return
	}
	if !p.reachable(t) {
		t.State = platform.TaskLapsed
		p.publishReport(t)
		return
	}
	t.State = platform.TaskDone
	if failed {
		t.State = platform.TaskFailed
		t.Reason = "exit code 1"
	}
	p.publishReport(t)
}

// scheduleLeaseExpiry ends the task when its lease expires.
func (p *Platform) scheduleLeaseExpiry(t *task, after time.Duration) {
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if t.State != platform.TaskRunning {
			return
		}
		remaining := time.Until(t.expires)
		if remaining > 0 {
			p.scheduleLeaseExpiry(t, remaining)
			return
		}
		t.State = platform.TaskLapsed
		p.publishReport(t)
	})
}

// reachable reports whether the task's worker is up and hasn't rebooted since the start of the task.
func (p *Platform) reachable(t *task) bool {
	inst, ok := p.fleet.instances[t.Worker]
	return ok && inst.actual.Liveness != platform.Down && inst.actual.Boot == t.boot
}

// FailTasks makes all tasks fail that are started on the worker from now on.
func (p *Platform) FailTasks(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[worker] = true
}

// publishReport publishes the task's current state by giving its report the next sequence number.
func (p *Platform) publishReport(t *task) {
	p.reportVersion++
	t.Changed = p.reportVersion
}

// onTask applies an action to a running task if its fence is valid and its token is new.
// The fence is checked first, so that a request for a task that doesn't exist also fences out starts from earlier
// epochs.
func (p *Platform) onTask(request platform.TaskRequest, action func(*task)) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew, err := p.fleet.admit(request.Fence)
	if err != nil || !isNew {
		return platform.Empty{}, err
	}
	t, ok := p.tasks[request.Task]
	if !ok || t.Worker != request.Worker || t.State != platform.TaskRunning {
		return nil, fault.New(fault.NotExist, "task %s on worker %s", request.Task, request.Worker)
	}
	if !p.reachable(t) {
		return nil, fault.New(fault.PlatformUnavailable, "worker %s unreachable", request.Worker)
	}
	action(t)
	return platform.Empty{}, nil
}

func (p *Platform) renewTasks(request platform.RenewRequest) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := platform.RenewResult{Renewed: make(map[string]bool)}
	isNew, err := p.fleet.admit(request.Fence)
	if err != nil || !isNew {
		return result, err
	}
	for _, ref := range request.Tasks {
		t, ok := p.tasks[ref.Task]
		if ok && t.Worker == ref.Worker && t.State == platform.TaskRunning && p.reachable(t) {
			t.expires = time.Now().Add(request.Lease)
			result.Renewed[ref.Task] = true
		}
	}
	return result, nil
}

func (p *Platform) renew(request platform.TaskRequest) (any, error) {
	return p.onTask(request, func(t *task) { t.expires = time.Now().Add(request.Lease) })
}

func (p *Platform) stop(request platform.TaskRequest) (any, error) {
	return p.onTask(request, func(t *task) {
		t.State = platform.TaskStopped
		p.publishReport(t)
	})
}

func (p *Platform) throttle(request platform.TaskRequest) (any, error) {
	return p.onTask(request, func(t *task) {
		t.Used.MilliCores = t.Used.MilliCores * int64(request.Percent) / 100
		p.publishReport(t)
	})
}

func (p *Platform) checkpoint(request platform.TaskRequest) (any, error) {
	return p.onTask(request, func(t *task) {
		t.Checkpoint = "checkpoint/" + t.Task
		p.objects[t.Checkpoint] = []byte(request.Fence.Token)
		p.publishReport(t)
	})
}

func (p *Platform) usage(request platform.UsageRequest) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := platform.UsageResult{Tasks: []platform.TaskReport{}, Through: p.reportVersion}
	for _, t := range p.tasks {
		inst, ok := p.fleet.instances[t.Worker]
		shown := ok && inst.actual.DataCentre == request.DataCentre && inst.actual.Liveness != platform.Down
		if shown && t.Changed > request.After && strings.HasPrefix(t.Task, request.Prefix) {
			result.Tasks = append(result.Tasks, t.TaskReport)
		}
	}
	slices.SortFunc(result.Tasks, func(a, b platform.TaskReport) int { return cmp.Compare(a.Changed, b.Changed) })
	return result, nil
}

// Starts returns the number of starts of the tasks whose names have the prefix.
func (p *Platform) Starts(prefix string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	starts := 0
	for name, t := range p.tasks {
		if strings.HasPrefix(name, prefix) {
			starts += t.starts
		}
	}
	return starts
}
