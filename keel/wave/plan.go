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

// Weights are the costs that a plan weighs against each other.
type Weights struct {
	// Time is the cost of one hour of roll-out.
	Time float64 `json:"time"`
	// Move is the cost of one move of an instance.
	Move float64 `json:"move"`
	// Buffer is the cost of one spare instance held for one hour.
	Buffer float64 `json:"buffer"`
}

// Pool is what the planner knows of one pool.
type Pool struct {
	Name string
	// Allowed is the number of instances that planned removals may take out at once.
	Allowed int
	// StepTime is the time that one instance is out.
	StepTime time.Duration
	Weights  Weights
}

// PoolsOf returns the pools with the names as the settings have them; the spare pool may be out whole.
func PoolsOf(tree *settings.Tree, names []string, members map[string]int) []Pool {
	pools := make([]Pool, 0, len(names))
	for _, name := range names {
		path := settings.Path(name)
		limits := pool.LimitsOf(tree, name)
		record := pool.Record{Name: name, Members: members[name]}
		pools = append(pools, Pool{
			Name: name, Allowed: record.Room(limits), StepTime: tree.Duration(path, settings.WaveStepTime),
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
	// MaxConcurrent is the number of instances out in one step.
	AtOnce int `json:"at_once"`
	// Spares is the number of spare instances that join the pool while the wave runs.
	Spares int `json:"spares"`
	Steps  int `json:"steps"`
	// Moves is the number of moves of instances into the pool and back.
	Moves      int           `json:"moves"`
	RollOut    time.Duration `json:"roll_out_ns"`
	LowerBound time.Duration `json:"lower_bound_ns"`
	// BufferHours is the time for which spare instances are held, in instance-hours.
	BufferHours float64 `json:"buffer_instance_hours"`
	// Blocked reports that the budget lets no instance go.
	Blocked bool `json:"blocked,omitempty"`
}

// Plan is what a wave does, step by step.
type Plan struct {
	Pools []PoolPlan `json:"pools"`
	// Steps holds, for each step, the keys of the instances that are out at once.
	Steps [][]string `json:"steps"`
	// Spares holds, for each pool that is lent spare instances, how many.
	Spares  map[string]int `json:"spares,omitempty"`
	RollOut time.Duration  `json:"roll_out_ns"`
	// LowerBound is the largest time over the pools without spares: instances by allowed down, rounded up, by step time.
	LowerBound  time.Duration `json:"lower_bound_ns"`
	Moves       int           `json:"moves"`
	BufferHours float64       `json:"buffer_instance_hours"`
	Cost        float64       `json:"cost"`
	// Racks is the number of racks with an instance in the wave, WholeRacks of those that go in one step.
	Racks      int `json:"racks"`
	WholeRacks int `json:"whole_racks"`
}

// NewPlan plans the maintenance of the instances of the pools, with the spare instances that may be lent to them.
// A spare instance joins a pool only where the weights say that it costs less than waiting.
func NewPlan(pools []Pool, members []instance.Record, spares int) Plan {
	byPool := make(map[string]int)
	for _, member := range members {
		byPool[member.Pool]++
	}
	plan := Plan{Spares: make(map[string]int)}
	for _, chosen := range lend(pools, byPool, spares) {
		plan.Cost += chosen.cost
		for _, part := range chosen.parts {
			plan.add(part)
		}
	}
	plan.place(members)
	return plan
}

func (p *Plan) add(part PoolPlan) {
	p.Pools = append(p.Pools, part)
	p.RollOut = max(p.RollOut, part.RollOut)
	p.LowerBound = max(p.LowerBound, part.LowerBound)
	p.Moves += part.Moves
	p.BufferHours += part.BufferHours
	if part.Spares > 0 {
		p.Spares[part.Name] = part.Spares
	}
}

// plan returns the part for a pool of n instances that is lent spare ones.
func (p Pool) plan(n, lent int) PoolPlan {
	part := PoolPlan{Name: p.Name, Instances: n, AtOnce: p.Allowed + lent, Spares: lent, Moves: 2 * lent}
	if n == 0 {
		return part
	}
	if p.Allowed > 0 {
		part.LowerBound = time.Duration(ceil(n, p.Allowed)) * p.StepTime
	}
	if part.AtOnce == 0 {
		part.Blocked = true
		return part
	}
	// The lent instances are maintained too while they belong to the pool.
	part.Steps = ceil(n+lent, part.AtOnce)
	part.RollOut = time.Duration(part.Steps) * p.StepTime
	part.BufferHours = float64(lent) * part.RollOut.Hours()
	return part
}

func ceil(n, by int) int { return (n + by - 1) / by }

// rack names a rack of a data centre.
type rack struct{ dataCentre, name string }

// place spreads the instances over the steps: racks go whole where every pool has room for that in one step.
func (p *Plan) place(members []instance.Record) {
	room := make(map[string]*rooms)
	for _, part := range p.Pools {
		room[part.Name] = newRooms(part)
	}
	byRack := make(map[rack][]instance.Record)
	for _, member := range members {
		if r := room[member.Pool]; r != nil && r.atOnce > 0 {
			at := rack{member.DataCentre, member.Rack}
			byRack[at] = append(byRack[at], member)
		}
	}
	p.Racks = len(byRack)
	for _, at := range rackOrder(byRack) {
		if p.placeTogether(room, byRack[at]) {
			p.WholeRacks++
			continue
		}
		for _, member := range byRack[at] {
			p.put(room[member.Pool].take(1), member)
		}
	}
	for _, step := range p.Steps {
		slices.Sort(step)
	}
}

// rackOrder returns the racks by falling size, since large ones find room for the whole least often.
func rackOrder(byRack map[rack][]instance.Record) []rack {
	return slices.SortedFunc(maps.Keys(byRack), func(a, b rack) int {
		return cmp.Or(cmp.Compare(len(byRack[b]), len(byRack[a])), cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
}

// placeTogether puts the instances of a rack into the first step with room for all, and reports whether there is one.
func (p *Plan) placeTogether(room map[string]*rooms, members []instance.Record) bool {
	need := make(map[string]int)
	for _, member := range members {
		need[member.Pool]++
	}
	names := slices.Sorted(maps.Keys(need))
	step, last := 0, math.MaxInt
	for _, name := range names {
		step = max(step, room[name].first)
		last = min(last, room[name].steps)
	}
	for ; step < last; step++ {
		fits := true
		for _, name := range names {
			fits = fits && room[name].left(step) >= need[name]
		}
		if !fits {
			continue
		}
		for _, name := range names {
			room[name].use(step, need[name])
		}
		for _, member := range members {
			p.put(step, member)
		}
		return true
	}
	return false
}

func (p *Plan) put(step int, member instance.Record) {
	for len(p.Steps) <= step {
		p.Steps = append(p.Steps, nil)
	}
	p.Steps[step] = append(p.Steps[step], member.Key())
}

// rooms counts what each step of a pool's part still has room for.
type rooms struct {
	atOnce, steps int
	used          []int
	// first is the first step with room.
	first int
}

func newRooms(part PoolPlan) *rooms {
	return &rooms{atOnce: part.AtOnce, steps: part.Steps, used: make([]int, part.Steps)}
}

func (r *rooms) left(step int) int { return r.atOnce - r.used[step] }

func (r *rooms) use(step, n int) {
	r.used[step] += n
	for r.first < r.steps && r.left(r.first) == 0 {
		r.first++
	}
}

// take uses room for n in the first step that has it.
func (r *rooms) take(n int) int {
	step := r.first
	r.use(step, n)
	return step
}
