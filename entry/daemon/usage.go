package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/wave"
)

const (
	// heartbeatTimeout is the age of an entry's last heartbeat from which no instance of its data centre may leave.
	heartbeatTimeout = 5 * time.Second
	// remoteDrainTime is the time without heartbeats after which an entry of another data centre has no requests in
	// flight: it routes to a remote data centre only with recent heartbeats from there, and requests end within their
	// timeout.
	remoteDrainTime = 11 * time.Minute
)

// usage returns the functions that determine from heartbeats and worker rows whether instances are in use.
func (d *Daemon) usage() wave.Usage {
	return wave.Usage{BusyReason: d.busyReason, BlockedReason: d.blockedReason, IdleConditions: d.idleConditions}
}

// busyReason returns why the instance may have requests in flight, empty if it has none. Every registered entry must
// have reported that it applied the instance's row and has no request in flight to it, except entries of other data
// centres without a heartbeat for longer than a request can last. Of several reasons it returns the alphabetically
// last, which does not depend on the order of the entries.
func (d *Daemon) busyReason(found instance.Versioned) string {
	reason := ""
	for _, member := range d.session.Registered() {
		if d.view.Heartbeats().HasDrained(member.Incarnation, found.Key(), found.Version()) {
			continue
		}
		_, age, received := d.view.Heartbeats().Last(member.Incarnation)
		remote := member.DataCentre != found.Value.DataCentre
		if remote && (received && age > remoteDrainTime || !received && d.uptime() > remoteDrainTime) {
			continue
		}
		reason = max(reason, fmt.Sprintf("entry %s has not said that it is done with it", member.Incarnation))
	}
	return reason
}

// uptime returns the time for which this entry has been able to receive heartbeats.
func (d *Daemon) uptime() time.Duration { return time.Since(d.startedAt) }

// blockedReason returns why no instance of the data centre may start leaving, empty if instances may. The reason is an
// entry there that has not sent a heartbeat for heartbeatTimeout, so that its requests in flight are unknown.
func (d *Daemon) blockedReason(dataCentre string) string {
	reason := ""
	for _, member := range d.session.Registered() {
		_, age, received := d.view.Heartbeats().Last(member.Incarnation)
		if member.DataCentre == dataCentre && (!received || age > heartbeatTimeout) {
			reason = max(reason, fmt.Sprintf("entry %s of %s is not heard", member.Incarnation, dataCentre))
		}
	}
	return reason
}

// idleConditions returns, for each instance that runs no task, the condition that its worker's row is unchanged. No job
// can be placed on a leaving instance, since the placement has the instance's row as a condition.
func (d *Daemon) idleConditions(ctx context.Context, keys []string) (map[string][]platform.Condition, error) {
	rowKeys, err := d.workerRowKeys(ctx, keys)
	if err != nil {
		return nil, err
	}
	rows, err := d.Client.Get(ctx, rowKeys...)
	if err != nil {
		return nil, err
	}
	idle := make(map[string][]platform.Condition)
	for _, row := range rows {
		var worker job.Worker
		if !row.Deleted() && json.Unmarshal(row.Value, &worker) != nil || len(worker.Tasks) > 0 {
			continue
		}
		key := keys[slices.Index(rowKeys, row.Key)]
		idle[key] = []platform.Condition{{Key: row.Key, Version: row.Version}}
	}
	return idle, nil
}

// workerRowKeys returns the keys of the rows of the workers on the instances; the keys contain the instances' pools.
func (d *Daemon) workerRowKeys(ctx context.Context, keys []string) ([]string, error) {
	rows, err := d.Client.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	rowKeys := make([]string, 0, len(keys))
	for _, row := range rows {
		var record instance.Record
		err = json.Unmarshal(row.Value, &record)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "instance row %s", row.Key)
		}
		rowKeys = append(rowKeys, job.WorkerKey(record.Pool, row.Key))
	}
	return rowKeys, nil
}
