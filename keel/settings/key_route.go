package settings

import "time"

// The settings of routing.
const (
	RequestTimeout   Key = "route.request_timeout"
	FirstByteTimeout Key = "route.first_byte_timeout"
	ProgressTimeout  Key = "route.progress_timeout"
	ResponseBytes    Key = "route.answer_bytes"
	QueueDepth       Key = "route.queue_depth"
	RetryBudget      Key = "route.retry_budget"
	RepeatablePost   Key = "route.repeatable_post"
	Draining         Key = "route.draining"
)

const (
	maxRequestTimeout = 10 * time.Minute
	maxAnswerBytes    = 1 << 30
	maxDrainingLength = 4096
)

var routeKeys = []Definition{
	{
		Key: RequestTimeout, Type: TypeDuration, Default: `"10s"`, LowestLevel: LevelService,
		Min: float64(10 * time.Millisecond), Max: float64(maxRequestTimeout),
		Text: "Time within which a request without a timeout of its own is answered.",
	},
	{
		Key: FirstByteTimeout, Type: TypeDuration, Default: `"2s"`, LowestLevel: LevelService,
		Min: 0, Max: float64(maxRequestTimeout),
		Text: "Time after which a repeatable request on a reused connection without an answer goes on a new one; 0s never.",
	},
	{
		Key: ProgressTimeout, Type: TypeDuration, Default: `"5s"`, LowestLevel: LevelService,
		Min: 0, Max: float64(maxRequestTimeout),
		Text: "Longest pause within an answer; 0s leaves it to the request's timeout.",
	},
	{
		Key: ResponseBytes, Type: TypeInt, Unit: "bytes", Default: `8388608`, LowestLevel: LevelService, Min: 1, Max: maxAnswerBytes,
		Text: "Greatest size of the body of an endpoint's answer.",
	},
	{
		Key: QueueDepth, Type: TypeInt, Unit: "requests", Default: `200`, LowestLevel: LevelService, Min: 0, Max: 100000,
		Text: "Requests of one partner and service that may wait in an entry for a slot.",
	},
	{
		Key: RetryBudget, Type: TypeFloat, Unit: "retries per request", Default: `0.2`, LowestLevel: LevelService, Min: 0, Max: 1,
		Text: "Share of requests that may be sent a second time; 0 sends none again.",
	},
	{
		Key: RepeatablePost, Type: TypeBool, Default: `false`, LowestLevel: LevelService,
		Text: "Whether POST requests may run more than once and are sent again like idempotent methods.",
	},
	{
		Key: Draining, Type: TypeString, Default: `""`, LowestLevel: LevelPool, Min: 0, Max: maxDrainingLength,
		Text: "Identifiers of instances that get no new requests, separated by commas.",
	},
}
