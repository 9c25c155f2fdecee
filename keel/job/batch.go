package job

import (
	"maps"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// maxBatchRows is the number of rows at which no further placement or deletion is added to a batch.
const maxBatchRows = 128

// batch collects changes of many rows for one transaction; reads return the values that earlier changes have set.
type batch struct {
	jobs         *Jobs
	workers      *Workers
	conditions   map[string]platform.Condition
	jobWrites    map[string]Record
	workerWrites map[string]Worker
	removed      map[string]bool
	// writeOrder lists the keys of the rows to write, in the order of their first change.
	writeOrder []string
}

func newBatch(jobs *Jobs, workers *Workers) *batch {
	return &batch{
		jobs: jobs, workers: workers,
		conditions:   make(map[string]platform.Condition),
		jobWrites:    make(map[string]Record),
		workerWrites: make(map[string]Worker),
		removed:      make(map[string]bool),
	}
}

// full reports whether no further change should be added.
func (b *batch) full() bool { return len(b.writeOrder) >= maxBatchRows }

func (b *batch) empty() bool { return len(b.writeOrder) == 0 }

// writesJob reports whether the batch writes or deletes the job's row.
func (b *batch) writesJob(key string) bool {
	_, ok := b.jobWrites[key]
	return ok || b.removed[key]
}

// job returns the job with the changes of the batch.
func (b *batch) job(key string) Record {
	next, ok := b.jobWrites[key]
	if !ok {
		found, _ := b.jobs.Get(key)
		next = found.Value
	}
	return next
}

func (b *batch) putJob(found rowset.Versioned[Record], next Record) {
	if !b.writesJob(found.Key()) {
		b.writeOrder = append(b.writeOrder, found.Key())
		b.conditions[found.Key()] = found.Condition()
	}
	b.jobWrites[found.Key()] = next
}

func (b *batch) removeJob(found rowset.Versioned[Record]) {
	b.writeOrder = append(b.writeOrder, found.Key())
	b.conditions[found.Key()] = found.Condition()
	b.removed[found.Key()] = true
}

// worker returns a copy of the worker's row with the changes of the batch.
func (b *batch) worker(key string) Worker {
	next, ok := b.workerWrites[key]
	if ok {
		return next
	}
	found, _ := b.workers.Get(key)
	next = found.Value
	next.Tasks = maps.Clone(next.Tasks)
	return next
}

func (b *batch) putWorker(key string, next Worker) {
	_, written := b.workerWrites[key]
	if !written {
		found, _ := b.workers.Get(key)
		b.writeOrder = append(b.writeOrder, key)
		b.conditions[key] = found.Condition()
	}
	b.workerWrites[key] = next
}

// assign adds the job and its size to the worker's row.
func (b *batch) assign(key, instanceKey, jobKey string, size platform.Size) {
	next := b.worker(key)
	next.Instance = instanceKey
	if next.Tasks == nil {
		next.Tasks = make(map[string]platform.Size)
	}
	next.Tasks[jobKey] = size
	b.putWorker(key, next)
}

// isolate marks the worker's row as one whose job runs apart from others, until it is released.
func (b *batch) isolate(key string) {
	next := b.worker(key)
	next.Isolated = true
	b.putWorker(key, next)
}

// release removes the job from the worker's row and applies update to the row unless it is nil.
func (b *batch) release(key, jobKey string, update func(*Worker)) {
	next := b.worker(key)
	_, held := next.Tasks[jobKey]
	if !held && update == nil {
		return
	}
	delete(next.Tasks, jobKey)
	next.Isolated = next.Isolated && len(next.Tasks) > 0
	if update != nil {
		update(&next)
	}
	b.putWorker(key, next)
}

// addCondition adds a condition on a row that the batch doesn't write.
func (b *batch) addCondition(condition platform.Condition) {
	b.conditions[condition.Key] = condition
}

// txn returns the transaction of the batch, which fails if this entry no longer holds the duty.
func (b *batch) txn(duty platform.Condition) platform.Txn {
	txn := platform.Txn{Token: platform.NewToken(), Conditions: []platform.Condition{duty}}
	for _, key := range sortedKeys(b.conditions) {
		txn.Conditions = append(txn.Conditions, b.conditions[key])
	}
	for _, key := range b.writeOrder {
		txn.Writes = append(txn.Writes, b.rowWrite(key))
	}
	return txn
}

// rowWrite returns the write of the row; it deletes the row of a worker that has nothing to record.
func (b *batch) rowWrite(key string) platform.Write {
	if b.removed[key] {
		return rowset.Remove(key)
	}
	job, ok := b.jobWrites[key]
	if ok {
		return rowset.Write(key, job)
	}
	next := b.workerWrites[key]
	if len(next.Tasks) == 0 && len(next.Failures) == 0 && next.Quarantined.IsZero() {
		return rowset.Remove(key)
	}
	return rowset.Write(key, next)
}
