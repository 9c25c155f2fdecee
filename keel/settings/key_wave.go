package settings

import "time"

// The settings of maintenance waves.
const (
	WaveReturnTimeout Key = "wave.return_timeout"
	WaveDrainTimeout  Key = "wave.drain_timeout"
	WaveListLag       Key = "wave.list_lag"
	WaveStepTime      Key = "wave.step_time"
	WaveWeightTime    Key = "wave.weight_time"
	WaveWeightMove    Key = "wave.weight_move"
	WaveWeightBuffer  Key = "wave.weight_buffer"
)

const maxWeight = 1e6

var waveKeys = []Definition{
	{
		Key: WaveReturnTimeout, Type: TypeDuration, Default: `"10m"`, LowestLevel: LevelPool,
		Min: float64(time.Second), Max: float64(24 * time.Hour),
		Text: "Time after which an instance that hasn't come back from its reboot counts as failed.",
	},
	{
		Key: WaveDrainTimeout, Type: TypeDuration, Default: `"15m"`, LowestLevel: LevelPool,
		Min: float64(time.Second), Max: float64(24 * time.Hour),
		Text: "Time after which a leaving instance that is still in use is put back, so that others may go first.",
	},
	{
		Key: WaveListLag, Type: TypeDuration, Default: `"2s"`, LowestLevel: LevelPool,
		Min: 0, Max: float64(10 * time.Minute),
		Text: "Bound on the lag of the instance list: a reboot is only taken as done once the list has shown the instance " +
			"down or this time has passed since the reboot was accepted.",
	},
	{
		Key: WaveStepTime, Type: TypeDuration, Default: `"5m"`, LowestLevel: LevelPool,
		Min: float64(time.Second), Max: float64(24 * time.Hour),
		Text: "Time that one instance is out for maintenance, as plans and estimates take it.",
	},
	{
		Key: WaveWeightTime, Type: TypeFloat, Unit: "per hour of roll-out", Default: `1`, LowestLevel: LevelPool, Min: 0, Max: maxWeight,
		Text: "Weight of roll-out time when a wave is planned.",
	},
	{
		Key: WaveWeightMove, Type: TypeFloat, Unit: "per move", Default: `1`, LowestLevel: LevelPool, Min: 0, Max: maxWeight,
		Text: "Weight of one move of an instance when a wave is planned.",
	},
	{
		Key: WaveWeightBuffer, Type: TypeFloat, Unit: "per instance-hour", Default: `1`, LowestLevel: LevelPool, Min: 0, Max: maxWeight,
		Text: "Weight of one hour of one spare instance held for a wave when it is planned.",
	},
}
