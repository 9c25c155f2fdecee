package job

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

func TestBatchConditionsCoverAllRowsAndTheDuty(t *testing.T) {
	jobs := rowset.New[Record]("j/p/q/job/")
	workers := rowset.New[Worker]("j/p/q/worker/")
	write := rowset.Write("j/p/q/job/a", Record{ID: "a", Pool: "p/q"})
	_, err := jobs.Update([]platform.Row{{Key: write.Key, Version: 7, Value: write.Value}})
	assert.NilError(t, err)
	found, _ := jobs.Get(write.Key)
	b := newBatch(jobs, workers)
	next := found.Value
	next.State = Placed
	b.putJob(found, next)
	b.assign("j/p/q/worker/dc/1", "c/instance/dc/1", found.Key(), platform.Size{MilliCores: 1})
	b.addCondition(platform.Condition{Key: "c/instance/dc/1", Version: 3})
	txn := b.txn(platform.Condition{Key: "m/duty/place", Version: 9})
	assert.DeepEqual(t, txn.Conditions, []platform.Condition{
		{Key: "m/duty/place", Version: 9}, {Key: "c/instance/dc/1", Version: 3},
		{Key: "j/p/q/job/a", Version: 7}, {Key: "j/p/q/worker/dc/1", Version: 0},
	})
	assert.Equal(t, len(txn.Writes), 2)
}

func TestBatchRemovesTheRowOfAnEmptyWorker(t *testing.T) {
	workers := rowset.New[Worker]("j/p/q/worker/")
	b := newBatch(rowset.New[Record]("j/p/q/job/"), workers)
	b.assign("j/p/q/worker/dc/1", "c/instance/dc/1", "j/p/q/job/a", platform.Size{MilliCores: 1})
	b.release("j/p/q/worker/dc/1", "j/p/q/job/a", nil)
	txn := b.txn(platform.Condition{Key: "m/duty/place", Version: 9})
	assert.Equal(t, len(txn.Writes), 1)
	assert.Equal(t, len(txn.Writes[0].Value), 0)
}
