package queue

import (
	"strings"
	"time"
)

// PolicyTiming is how long an outside policy takes to say which workers may run a step.
type PolicyTiming struct {
	// BaseTime is the time of one question, Each what every worker named adds.
	BaseTime      time.Duration
	TimePerWorker time.Duration
	// TicketValidity is how long a ticket is good for.
	TicketValidity time.Duration
}

// Queue is one queue of jobs.
type Queue struct {
	Name string
	// Host and Prefix select the requests that concern the queue.
	Host   string
	Prefix string
	// Pool names the pool whose workers run the queue's tasks.
	Pool string
	// Priority is 0 for the queue that comes first.
	Priority int
	// MaxAttempts bounds the failed runs of one task.
	MaxAttempts int
	// Stretch times the longest chain of a job's work, and LatencyTarget on top, is the objective for its completion.
	Stretch       float64
	LatencyTarget time.Duration
	// Timeout bounds one call of a caller.
	Timeout time.Duration
	// Policy is nil for a queue whose steps may run on any worker.
	Policy *PolicyTiming
}

// Pool is a pool of instances.
type Pool struct {
	Name string
	// Spare reports that the instances of the pool are switched off and cost nothing.
	Spare bool
	// CapacityEnforced reports that the workers themselves refuse what doesn't fit.
	CapacityEnforced bool
	// HealthPath is where the workers answer health checks.
	HealthPath string
}

// Limits bounds callers' requests.
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

	byName map[string]*Queue
	byHost map[string][]*Queue
}

// New returns a configuration that is ready for lookups.
func New(version uint64, queues []*Queue, pools []Pool, limits Limits) *Config {
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

// QueueByName returns the queue with the name, or nil.
func (c *Config) QueueByName(name string) *Queue {
	if c == nil {
		return nil
	}
	return c.byName[name]
}

// QueueForRequest returns the queue of a host with the longest prefix of the path, or nil.
func (c *Config) QueueForRequest(host, path string) *Queue {
	if c == nil {
		return nil
	}
	var best *Queue
	for _, q := range c.byHost[strings.ToLower(hostOnly(host))] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// hostOnly cuts the port off a host header.
func hostOnly(host string) string {
	name, _, found := strings.Cut(host, ":")
	if !found {
		return host
	}
	return name
}
