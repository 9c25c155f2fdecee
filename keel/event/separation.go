package event

import "github.com/sirupsen/logrus"

// The events of tasks that slow each other down.
const (
	PairFound ID = 1350 + iota
	PairDropped
	PaceChanged
	RunMovedAside
)

var separationEvents = []Definition{
	{PairFound, "pair_found", logrus.InfoLevel, "tasks of an image are slowed down by those of another image on the same worker, and are kept apart from them where there is room; with the share by which they take longer, the effect in standard errors and the weight of the runs seen beside the image", []string{"slowed", "by", "slowdown", "errors", "exposures"}},
	{PairDropped, "pair_dropped", logrus.InfoLevel, "tasks of an image are no longer seen to be slowed down by those of another image", []string{"slowed", "by", "slowdown", "errors", "exposures"}},
	{PaceChanged, "pace_changed", logrus.InfoLevel, "the best-effort runs on a worker are throttled to another percentage of their speed, because of the tail latency of a task that serves users there", []string{"worker", "percent", "before", "runs", "task", "tail_ms", "target_ms"}},
	{RunMovedAside, "run_moved_aside", logrus.InfoLevel, "a best-effort run that is throttled to a standstill is stopped, so that it restarts on another worker", []string{"task", "run", "worker", "stopped_ms"}},
}
