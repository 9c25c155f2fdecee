package queue

import "time"

// Terms are the terms of a queue under which a job was accepted. They are stored with the job, so that it can go on under a
// leader that doesn't know the queue.
type Terms struct {
	// Version is the version of the configuration.
	Version       uint64        `json:"version"`
	Pool          string        `json:"pool"`
	MaxAttempts   int           `json:"attempts"`
	Stretch       float64       `json:"stretch,omitempty"`
	LatencyTarget time.Duration `json:"target,omitempty"`
	Policy        *PolicyTiming `json:"policy,omitempty"`
}

// Terms returns the terms of a queue of the configuration.
func (c *Config) Terms(q *Queue) *Terms {
	return &Terms{
		Version: c.Version, Pool: q.Pool, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, LatencyTarget: q.LatencyTarget, Policy: q.Policy,
	}
}

// Queue returns the part of the queue that the terms hold.
func (t *Terms) Queue(name string) *Queue {
	return &Queue{Name: name, Pool: t.Pool, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch, LatencyTarget: t.LatencyTarget, Policy: t.Policy}
}
