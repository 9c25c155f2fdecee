package queue

import (
	"strings"
	"time"

	"samphirekeel.example/keel/tenant"
)

// PolicyTiming is the response time and the ticket validity of an external policy, which decides which workers may run
// a step.
type PolicyTiming struct {
	// BaseTime is the response time of a query; TimePerWorker is added to it for each worker that the query names.
	BaseTime      time.Duration `json:"base"`
	TimePerWorker time.Duration `json:"per_worker"`
	// TicketValidity is how long a ticket is valid.
	TicketValidity time.Duration `json:"validity"`
}

// Queue is one queue of jobs.
type Queue struct {
	Name string
	// Host and Prefix select the requests for the queue by their host name and by a prefix of their path.
	Host   string
	Prefix string
	// Pool is the name of the pool whose workers run the queue's tasks.
	Pool string
	// Priority ranks the queues; a lower value takes precedence, and 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails; long-running tasks have no limit.
	MaxAttempts int
	// Stretch and LatencyTarget give the objective for the time to complete a job: Stretch times the duration of its
	// critical path, plus LatencyTarget.
	Stretch       float64
	LatencyTarget time.Duration
	// Timeout is the timeout of one call by a caller.
	Timeout time.Duration
	// Policy is nil for a queue whose steps may run on any worker.
	Policy *PolicyTiming
	// Public reports that calls need no key of a tenant; jobs of a public queue belong to no tenant.
	Public bool
}

// Pool is a pool of instances.
type Pool struct {
	Name string
	// Spare reports that the instances in the pool are switched off and incur no cost.
	Spare bool
	// CapacityEnforced reports that the workers themselves reject tasks that don't fit.
	CapacityEnforced bool
	// HealthPath is the URL path of the workers' health check.
	HealthPath string
}

// Limits are the limits on callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration; it is immutable.
type Config struct {
	Version uint64
	Queues  []*Queue
	Pools   map[string]Pool
	Limits  Limits
	// Tenants is nil if the configuration has no tenants; then no call needs a key.
	Tenants *tenant.Set

	byName map[string]*Queue
	byHost map[string][]*Queue
}

// NewConfig returns a configuration with its lookup indexes.
func NewConfig(version uint64, queues []*Queue, pools []Pool, limits Limits) *Config {
	c := &Config{Version: version, Queues: queues, Limits: limits, Pools: make(map[string]Pool)}
	c.byName = make(map[string]*Queue)
	c.byHost = make(map[string][]*Queue)
	for _, q := range queues {
		c.byName[q.Name] = q
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	return c
}

// VersionOrZero returns the version, 0 if there is no configuration.
func (c *Config) VersionOrZero() uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// QueueByName returns the queue with the name, or nil.
func (c *Config) QueueByName(name string) *Queue {
	if c == nil {
		return nil
	}
	return c.byName[name]
}

// QueueForRequest returns the queue of the host whose prefix is the longest match for the path, or nil.
func (c *Config) QueueForRequest(host, path string) *Queue {
	if c == nil {
		return nil
	}
	var longest *Queue
	for _, q := range c.byHost[strings.ToLower(stripPort(host))] {
		if strings.HasPrefix(path, q.Prefix) && (longest == nil || len(q.Prefix) > len(longest.Prefix)) {
			longest = q
		}
	}
	return longest
}

// stripPort removes the port from a host header.
func stripPort(host string) string {
	name, _, found := strings.Cut(host, ":")
	if !found {
		return host
	}
	return name
}
