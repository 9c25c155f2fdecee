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
	// unheardAfter is the age of an entry's last word from which its data centre's instances stay in service.
	unheardAfter = 5 * time.Second
	// foreignSilence is the time after which a silent entry of another data centre can have nothing in flight:
	// it sends there only with fresh word from there, and a request ends within its timeout.
	foreignSilence = 11 * time.Minute
)

// use returns what this entry can tell of the use of instances.
func (d *Daemon) use() wave.Usage {
	return wave.Usage{BusyReason: d.busy, BlockedReason: d.blocked, IdleConditions: d.idle}
}

// busy says why the instance isn't known to be free of requests: the word of every registered entry is needed,
// but for entries of other data centres that have been silent for longer than a request can last.
func (d *Daemon) busy(found instance.Versioned) string {
	reason := ""
	for _, member := range d.session.Registered() {
		if d.view.Heartbeats().HasDrained(member.Incarnation, found.Key(), found.Version()) {
			continue
		}
		_, age, heard := d.view.Heartbeats().Last(member.Incarnation)
		foreign := member.DataCentre != found.Value.DataCentre
		if foreign && (heard && age > foreignSilence || !heard && d.upTime() > foreignSilence) {
			continue
		}
		reason = max(reason, fmt.Sprintf("entry %s has not said that it is done with it", member.Incarnation))
	}
	return reason
}

// upTime is how long this entry has been able to hear others.
func (d *Daemon) upTime() time.Duration { return time.Since(d.began) }

// blocked names an entry of the data centre that isn't heard, and with it the reason why instances there wait.
func (d *Daemon) blocked(dataCentre string) string {
	reason := ""
	for _, member := range d.session.Registered() {
		_, age, heard := d.view.Heartbeats().Last(member.Incarnation)
		if member.DataCentre == dataCentre && (!heard || age > unheardAfter) {
			reason = max(reason, fmt.Sprintf("entry %s of %s is not heard", member.Incarnation, dataCentre))
		}
	}
	return reason
}

// idle reads which of the instances run no task. A worker's row that says so is returned as a condition; no job can
// be placed on an instance that is leaving, since its row is a condition of that.
func (d *Daemon) idle(ctx context.Context, keys []string) (map[string][]platform.Condition, error) {
	rowKeys, err := d.workerKeys(ctx, keys)
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

// workerKeys returns the keys of the rows of the workers on the instances, which lie with the instances' pools.
func (d *Daemon) workerKeys(ctx context.Context, keys []string) ([]string, error) {
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
