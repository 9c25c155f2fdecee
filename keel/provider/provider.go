package provider

import (
	"context"

	"samphirekeel.example/keel/work"
)

// State is the state of an instance as the list reports it.
type State string

// The states of an instance.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "maintenance"
	Down        State = "down"
)

// Instance is an instance as the list reports it; the list may be stale.
type Instance struct {
	ID         string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Rack       string
	// Capacity is the instance's total resources.
	Capacity work.Size
	// Worker is the worker ID of the instance's current boot, empty if it isn't known.
	Worker string
}

// Page is one page of the list.
type Page struct {
	Instances []Instance
	// Unreadable says for each instance that can't be used what is wrong with it; such instances aren't listed.
	Unreadable []string
	// NextToken is the token of the next page, empty on the last page.
	NextToken string
}

// Fence identifies the lease under which an order to an instance is given.
type Fence struct {
	Holder string
	Token  int64
}

// Refusal is the reason why an order was rejected.
type Refusal string

// The reasons for a refusal.
const (
	// Accepted means that the order was not rejected; if the call failed, the error's outcome states whether it was
	// carried out.
	Accepted Refusal = ""
	// Fenced means that the instance has seen a higher fencing token.
	Fenced Refusal = "fenced"
	// Busy means that the instance isn't up or is already leaving its pool.
	Busy Refusal = "busy"
	// OtherWave means that the instance doesn't belong to the wave.
	OtherWave Refusal = "other_wave"
	// Unsuitable means that the instance doesn't exist or can't be in the pool.
	Unsuitable Refusal = "unsuitable"
	// Throttled means that the call exceeded the rate limit and had no effect.
	Throttled Refusal = "throttled"
)

// Client calls the instance service; calls fail with kind PlatformUnavailable, and with outcome Unknown if the order
// may have been carried out.
type Client struct {
	// List returns one page of the list of instances; an empty token requests the first page.
	List func(ctx context.Context, pageToken string) (Page, error)
	// Move moves an instance to another pool; everything that runs on it ends.
	Move func(ctx context.Context, instance, pool string, fence Fence) (Refusal, error)
	// Maintain takes an instance down for the maintenance of the wave; everything that runs on it ends.
	Maintain func(ctx context.Context, instance string, wave int64, fence Fence) (Refusal, error)
}

// Wave is an operator's request to maintain a set of instances by a deadline.
type Wave struct {
	Number    int64
	Instances []string
	// DeadlineSeconds is the time from the acceptance of the wave to its deadline.
	DeadlineSeconds float64
	// MaxConcurrent is the maximum number of instances that are down for the wave at the same time.
	MaxConcurrent int
}
