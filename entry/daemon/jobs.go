package daemon

import (
	"context"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/job"
)

// buildJobs creates the controller that schedules jobs and the service that accepts them.
func (d *Daemon) buildJobs() {
	d.jobs = &job.Controller{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, View: d.view,
		Interval: jobInterval, Metrics: job.NewMetrics(d.registry),
	}
	d.jobService = &job.Service{
		Client: d.Client, Log: d.Log, SizesCurrent: d.replicaCurrent,
		Notify: func(pool string) { d.loop.Post(context.Background(), func() { d.notifyJobsChanged(pool) }) },
	}
}

// notifyJobsChanged notifies the holder of the pool's duty that job rows have changed. A notification may be lost: the
// holder's next regular scan finds the change as well.
func (d *Daemon) notifyJobsChanged(pool string) {
	d.jobs.ScanPool(pool)
	holder, ok := d.session.Holder(job.DutyName(pool))
	if !ok || holder.Incarnation == d.session.Self.Incarnation {
		return
	}
	control.Call(d.loop, peerTimeout,
		func(ctx context.Context) (struct{}, error) {
			return struct{}{}, d.node.NotifyJobsChanged(ctx, holder.Peer, pool)
		},
		func(struct{}, error) {})
}

// publishInstanceSizes gives the job service the sizes of all instances, by which it rejects jobs that fit none.
func (d *Daemon) publishInstanceSizes() {
	newest := d.view.Cache().NewestVersion()
	if newest == d.sizesVersion {
		return
	}
	d.sizesVersion = newest
	d.jobService.SetInstanceSizes(job.NewInstanceSizes(d.view.Inventory()))
}
