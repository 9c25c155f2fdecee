package event

import "github.com/sirupsen/logrus"

// The events of instances and pools.
const (
	PoolPermitGranted ID = 600 + iota
	PoolInstanceMoved
	PoolInstancePutBack
	PoolInstanceFailed
	PoolInstanceBack
	PoolInstanceReplaced
	PoolInstanceAdopted
	PoolInstanceChanged
	PoolRowRepaired
	PoolInstanceDrained
)

var poolEvents = []Definition{
	{PoolPermitGranted, "pool_permit_granted", logrus.InfoLevel, "an instance gets a permit to be removed from a pool", []string{"pool", "instance", "reason"}},
	{PoolInstanceMoved, "pool_instance_moved", logrus.InfoLevel, "an instance moves from one pool to another", []string{"instance", "from", "to"}},
	{PoolInstancePutBack, "pool_instance_put_back", logrus.InfoLevel, "a planned removal is cancelled before the instance is down", []string{"pool", "instance", "reason"}},
	{PoolInstanceFailed, "pool_instance_failed", logrus.WarnLevel, "an instance counts as failed in its pool's budget", []string{"pool", "instance", "reason"}},
	{PoolInstanceBack, "pool_instance_back", logrus.InfoLevel, "a failed instance is in service again", []string{"pool", "instance"}},
	{PoolInstanceReplaced, "pool_instance_replaced", logrus.InfoLevel, "a failed instance is exchanged for a spare one", []string{"pool", "instance", "spare"}},
	{PoolInstanceAdopted, "pool_instance_adopted", logrus.InfoLevel, "a listed instance without a row is added to the spare pool", []string{"instance"}},
	{PoolInstanceChanged, "pool_instance_changed", logrus.InfoLevel, "the row of an instance is updated with its address, rack, size, slots or connections in the instance list", []string{"instance"}},
	{PoolRowRepaired, "pool_row_repaired", logrus.WarnLevel, "a pool's row is corrected because it does not agree with the rows of its instances", []string{"pool", "members", "counted", "permits"}},
	{PoolInstanceDrained, "pool_instance_drained", logrus.InfoLevel, "every entry that could use a leaving instance has reported that it no longer does", []string{"pool", "instance"}},
}
