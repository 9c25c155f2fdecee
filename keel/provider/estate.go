package provider

import (
	"context"

	"samphirekeel.example/keel/work"
)

// State is what the list says of an instance.
type State string

// The states of an instance.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "maintenance"
	Down        State = "down"
)

// Instance is one line of the list, which lags behind the truth.
type Instance struct {
	ID         string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Rack       string
	Capacity   work.Size
	// Worker names the boot of the instance, empty if none is known.
	Worker string
}

// Page is one page of the list.
type Page struct {
	Instances []Instance
	// NextToken asks for the next page, empty at the end.
	NextToken string
}

// Fence is under whose lease an order to an instance is given.
type Fence struct {
	Holder string
	Token  int64
}

// Refusal says why an order was not carried out.
type Refusal string

// The reasons for a refusal.
const (
	Accepted Refusal = ""
	// Fenced means that the instance has seen a higher fencing token.
	Fenced Refusal = "fenced"
	// Busy means that the instance isn't up, or is leaving.
	Busy Refusal = "busy"
	// OtherWave means that the instance doesn't belong to the wave.
	OtherWave Refusal = "other_wave"
	// Unsuitable means that there is no such instance, or that the pool is one of other instances.
	Unsuitable Refusal = "unsuitable"
	// Throttled means that the call was beyond the allowed rate and did nothing.
	Throttled Refusal = "throttled"
)

// Client calls the service that runs the instances; each call fails with kind PlatformUnavailable, and outcome
// Unknown where the order may have been carried out.
type Client struct {
	List func(ctx context.Context, page string) (Page, error)
	// Move takes an instance into another pool; whatever runs on it ends.
	Move func(ctx context.Context, instance, pool string, fence Fence) (Refusal, error)
	// Maintain takes an instance down for the maintenance of the wave; whatever runs on it ends.
	Maintain func(ctx context.Context, instance string, wave int64, fence Fence) (Refusal, error)
}

// Wave asks that each of the instances gets its maintenance in time.
type Wave struct {
	Number    int64
	Instances []string
	// DeadlineSeconds is the time in which the wave is due, from its acceptance.
	DeadlineSeconds float64
	// MaxConcurrent bounds the instances that are down for the wave at the same time.
	MaxConcurrent int
}
