package settings

import "time"

// The settings of claims and sequences.
const (
	ClaimRetention     Key = "claim.retention"
	ClaimResponseLimit Key = "claim.answer_limit"
	ClaimTableRate     Key = "claim.table_rate"
	SequenceWindow     Key = "sequence.window"
)

var claimKeys = []Definition{
	{
		Key: ClaimRetention, Type: TypeDuration, Default: `"24h"`, LowestLevel: LevelService,
		Min: float64(time.Minute), Max: float64(30 * 24 * time.Hour),
		Text: "Time for which the outcome of a request with an idempotency key is kept.",
	},
	{
		Key: ClaimResponseLimit, Type: TypeInt, Unit: "bytes", Default: "16384", LowestLevel: LevelService,
		Min: 0, Max: 1 << 20,
		Text: "Greatest size of headers and body of an answer that is kept for repeats of its request.",
	},
	{
		Key: ClaimTableRate, Type: TypeInt, Unit: "transactions a second", Default: "200", LowestLevel: LevelRoot,
		Min: 1, Max: 100000,
		Text: "Transactions of claims and their outcomes that all entries together send to the platform's table.",
	},
	{
		Key: SequenceWindow, Type: TypeDuration, Default: `"5s"`, LowestLevel: LevelService,
		Min: float64(10 * time.Millisecond), Max: float64(10 * time.Minute),
		Text: "Time that a request of a sequence waits for the requests before it.",
	},
}
