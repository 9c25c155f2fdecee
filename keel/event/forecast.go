package event

import "github.com/sirupsen/logrus"

// The events of the forecast of demand.
const (
	PeakBegan ID = 1300 + iota
	PeakEnded
	PeakMissed
)

var forecastEvents = []Definition{
	{PeakBegan, "peak_began", logrus.InfoLevel, "the rate of arriving work of a pool, in milli-cores, has risen to a multiple of its mean", []string{"pool", "rate", "began_ms"}},
	{PeakEnded, "peak_ended", logrus.InfoLevel, "the rate has fallen again; period_ms is the time after which its peaks come back, turn_ms that to the peak of the next pool, 0 if not known", []string{"pool", "period_ms", "turn_ms", "expected", "next_ms", "rate"}},
	{PeakMissed, "peak_missed", logrus.InfoLevel, "a peak that was expected has not begun, and its instances are given back", []string{"pool", "period_ms", "turn_ms"}},
}
