package wave

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/settings"
)

// Weights holds the unit costs that a plan minimises.
type Weights struct {
	// Time is the cost of one hour of roll-out.
	Time float64 `json:"time"`
	// Move is the cost of one move of an instance.
	Move float64 `json:"move"`
	// Buffer is the cost of one spare instance held for one hour.
	Buffer float64 `json:"buffer"`
}

// Pool is the planner's input for one pool.
type Pool struct {
	Name string
	// Allowed is the number of instances that planned removals may take out of service at once.
	Allowed int
	// StepTime is the time that one instance is out of service.
	StepTime time.Duration
	Weights  Weights
}

// PoolsOf returns the planner's input for the named pools. members holds the number of instances by pool; the spare
// pool may be out of service as a whole.
func PoolsOf(tree *settings.Tree, names []string, members map[string]int) []Pool {
	pools := make([]Pool, 0, len(names))
	for _, name := range names {
		path := settings.Path(name)
		limits := pool.LimitsOf(tree, name)
		record := pool.Record{Name: name, Members: members[name]}
		pools = append(pools, Pool{
			Name: name, Allowed: record.RemainingBudget(limits), StepTime: tree.Duration(path, settings.WaveStepTime),
			Weights: Weights{
				Time:   tree.Float(path, settings.WaveWeightTime),
				Move:   tree.Float(path, settings.WaveWeightMove),
				Buffer: tree.Float(path, settings.WaveWeightBuffer),
			},
		})
	}
	return pools
}

// PoolPlan is the part of a plan for one pool.
type PoolPlan struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
	// MaxConcurrent is the maximum number of instances out of service in one step.
	MaxConcurrent int `json:"at_once"`
	// Spares is the number of spare instances lent to the pool while the wave is unfinished.
	Spares int `json:"spares"`
	Steps  int `json:"steps"`
	// Moves is the number of moves of instances into the pool and back.
	Moves      int           `json:"moves"`
	RollOut    time.Duration `json:"roll_out_ns"`
	LowerBound time.Duration `json:"lower_bound_ns"`
	// BufferHours is the time for which spare instances are held, in instance-hours.
	BufferHours float64 `json:"buffer_instance_hours"`
	// Blocked reports that the budget allows no instance out of service.
	Blocked bool `json:"blocked,omitempty"`
}

// Plan is the schedule of a wave, with its cost.
type Plan struct {
	Pools []PoolPlan `json:"pools"`
	// Steps holds, for each step, the keys of the instances that are out of service together.
	Steps [][]string `json:"steps"`
	// Spares holds the number of spare instances lent, by pool, without the pools that are lent none.
	Spares  map[string]int `json:"spares,omitempty"`
	RollOut time.Duration  `json:"roll_out_ns"`
	// LowerBound is the longest roll-out of any pool without spares: ceil(instances / allowed) * step time.
	LowerBound  time.Duration `json:"lower_bound_ns"`
	Moves       int           `json:"moves"`
	BufferHours float64       `json:"buffer_instance_hours"`
	Cost        float64       `json:"cost"`
	// Racks is the number of racks with an instance in the wave.
	Racks int `json:"racks"`
	// WholeRacks is the number of racks whose instances are all maintained in one step.
	WholeRacks int `json:"whole_racks"`
}

// NewPlan plans the maintenance of the instances of the pools, given the number of spare instances that may be lent.
// A spare instance is lent to a pool only if, by the weights, this costs less than the longer roll-out without it.
func NewPlan(pools []Pool, members []instance.Record, spares int) Plan {
	instances := make(map[string]int)
	for _, member := range members {
		instances[member.Pool]++
	}
	plan := Plan{Spares: make(map[string]int)}
	for _, allocation := range allocateSpares(pools, instances, spares) {
		plan.Cost += allocation.cost
		for _, poolPlan := range allocation.plans {
			plan.addPool(poolPlan)
		}
	}
	plan.assignSteps(members)
	return plan
}

func (p *Plan) addPool(poolPlan PoolPlan) {
	p.Pools = append(p.Pools, poolPlan)
	p.RollOut = max(p.RollOut, poolPlan.RollOut)
	p.LowerBound = max(p.LowerBound, poolPlan.LowerBound)
	p.Moves += poolPlan.Moves
	p.BufferHours += poolPlan.BufferHours
	if poolPlan.Spares > 0 {
		p.Spares[poolPlan.Name] = poolPlan.Spares
	}
}

// plan returns the plan of the pool for its number of instances and the spares that it is lent.
func (p Pool) plan(instances, spares int) PoolPlan {
	poolPlan := PoolPlan{Name: p.Name, Instances: instances, MaxConcurrent: p.Allowed + spares, Spares: spares, Moves: 2 * spares}
	if instances == 0 {
		return poolPlan
	}
	if p.Allowed > 0 {
		poolPlan.LowerBound = time.Duration(ceilDiv(instances, p.Allowed)) * p.StepTime
	}
	if poolPlan.MaxConcurrent == 0 {
		poolPlan.Blocked = true
		return poolPlan
	}
	// Lent spares are maintained too, since they belong to the pool during the wave.
	poolPlan.Steps = ceilDiv(instances+spares, poolPlan.MaxConcurrent)
	poolPlan.RollOut = time.Duration(poolPlan.Steps) * p.StepTime
	poolPlan.BufferHours = float64(spares) * poolPlan.RollOut.Hours()
	return poolPlan
}

func ceilDiv(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// rack identifies a rack of a data centre.
type rack struct{ dataCentre, name string }

// assignSteps assigns the instances to steps: a whole rack to one step if a step has capacity for it in every pool.
func (p *Plan) assignSteps(members []instance.Record) {
	capacity := make(map[string]*stepCapacity)
	for _, poolPlan := range p.Pools {
		capacity[poolPlan.Name] = newStepCapacity(poolPlan)
	}
	byRack := make(map[rack][]instance.Record)
	for _, member := range members {
		if c := capacity[member.Pool]; c != nil && c.atOnce > 0 {
			key := rack{member.DataCentre, member.Rack}
			byRack[key] = append(byRack[key], member)
		}
	}
	p.Racks = len(byRack)
	for _, key := range racksBySize(byRack) {
		if p.assignRack(capacity, byRack[key]) {
			p.WholeRacks++
			continue
		}
		for _, member := range byRack[key] {
			p.addToStep(capacity[member.Pool].reserveFirst(1), member)
		}
	}
	for _, step := range p.Steps {
		slices.Sort(step)
	}
}

// racksBySize returns the racks by falling size, since large ones fit into one step least often.
func racksBySize(byRack map[rack][]instance.Record) []rack {
	return slices.SortedFunc(maps.Keys(byRack), func(a, b rack) int {
		return cmp.Or(cmp.Compare(len(byRack[b]), len(byRack[a])), cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
}

// assignRack assigns the instances of a rack to the first step with capacity for all, and reports whether there is one.
func (p *Plan) assignRack(capacity map[string]*stepCapacity, members []instance.Record) bool {
	needed := make(map[string]int)
	for _, member := range members {
		needed[member.Pool]++
	}
	names := slices.Sorted(maps.Keys(needed))
	step, end := 0, math.MaxInt
	for _, name := range names {
		step = max(step, capacity[name].firstFree)
		end = min(end, capacity[name].steps)
	}
	for ; step < end; step++ {
		fits := true
		for _, name := range names {
			fits = fits && capacity[name].remaining(step) >= needed[name]
		}
		if !fits {
			continue
		}
		for _, name := range names {
			capacity[name].reserve(step, needed[name])
		}
		for _, member := range members {
			p.addToStep(step, member)
		}
		return true
	}
	return false
}

func (p *Plan) addToStep(step int, member instance.Record) {
	for len(p.Steps) <= step {
		p.Steps = append(p.Steps, nil)
	}
	p.Steps[step] = append(p.Steps[step], member.Key())
}

// stepCapacity tracks how many more instances of a pool each step can take.
type stepCapacity struct {
	atOnce, steps int
	used          []int
	// firstFree is the first step with capacity left.
	firstFree int
}

func newStepCapacity(poolPlan PoolPlan) *stepCapacity {
	return &stepCapacity{atOnce: poolPlan.MaxConcurrent, steps: poolPlan.Steps, used: make([]int, poolPlan.Steps)}
}

func (c *stepCapacity) remaining(step int) int { return c.atOnce - c.used[step] }

func (c *stepCapacity) reserve(step, n int) {
	c.used[step] += n
	for c.firstFree < c.steps && c.remaining(c.firstFree) == 0 {
		c.firstFree++
	}
}

// reserveFirst reserves n instances in the first step with capacity left and returns that step.
func (c *stepCapacity) reserveFirst(n int) int {
	step := c.firstFree
	c.reserve(step, n)
	return step
}
