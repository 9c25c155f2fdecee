package daemon

import (
	"context"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/job"
)

// buildJobs creates the placement of jobs and their taking in.
func (d *Daemon) buildJobs() {
	d.jobs = &job.Controller{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, View: d.view,
		Interval: jobInterval, Metrics: job.NewMetrics(d.registry),
	}
	d.jobService = &job.Service{
		Client: d.Client, Log: d.Log,
		Notify: func(pool string) { d.loop.Post(context.Background(), func() { d.tellJobs(pool) }) },
	}
}

// tellJobs tells the holder of the pool's duty that there is news; a scan finds what a lost message leaves out.
func (d *Daemon) tellJobs(pool string) {
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

// publishShapes tells the taking in of jobs which sizes of instances there are.
func (d *Daemon) publishShapes() {
	newest := d.view.Cache().NewestVersion()
	if newest == d.shapesNewest {
		return
	}
	d.shapesNewest = newest
	d.jobService.SetInstanceSizes(job.NewInstanceSizes(d.view.Inventory()))
}
