package settings

import "time"

// The settings of pools.
const (
	PoolInstances         Key = "pool.instances"
	MaxUnavailable        Key = "pool.max_unavailable"
	MaxUnavailablePercent Key = "pool.max_unavailable_percent"
	FailureReserve        Key = "pool.failure_reserve"
	FailureDelay          Key = "pool.failure_delay"
	ReplaceDelay          Key = "pool.replace_delay"
)

const (
	maxInstances = 100000
	maxPercent   = 100
)

var poolKeys = []Definition{
	{
		Key: PoolInstances, Type: TypeInt, Unit: "instances", Default: `0`, LowestLevel: LevelPool, Min: 0, Max: maxInstances,
		Text: "Instances that the pool is to have; the difference is taken from or given to the spare pool.",
	},
	{
		Key: MaxUnavailable, Type: TypeInt, Unit: "instances", Default: `1`, LowestLevel: LevelPool, Min: 0, Max: maxInstances,
		Text: "Availability budget: instances of the pool that may be out of service at once, failed, missing and planned together.",
	},
	{
		Key: MaxUnavailablePercent, Type: TypeInt, Unit: "percent", Default: `0`, LowestLevel: LevelPool, Min: 0, Max: maxPercent,
		Text: "Availability budget as a share of pool.instances, rounded down; 0 leaves it to pool.max_unavailable. " +
			"Of the two the one set at the lower level holds, at the same level the smaller.",
	},
	{
		Key: FailureReserve, Type: TypeInt, Unit: "instances", Default: `0`, LowestLevel: LevelPool, Min: 0, Max: maxInstances,
		Text: "Part of the budget that planned removals leave free for failures that the instance list does not show yet.",
	},
	{
		Key: FailureDelay, Type: TypeDuration, Default: `"5s"`, LowestLevel: LevelPool,
		Min: 0, Max: float64(time.Hour),
		Text: "Time for which the instance list shows an instance as down before the instance counts as failed.",
	},
	{
		Key: ReplaceDelay, Type: TypeDuration, Default: `"1m"`, LowestLevel: LevelPool,
		Min: 0, Max: float64(24 * time.Hour),
		Text: "Time after which a failed instance changes places with a spare one.",
	},
}
