package interference

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxImages is the number of images whose slowdown is estimated; others aren't observed until one is forgotten.
	maxImages = 64
	// maxNeighbours is the number of images that a model relates to the slowdown of one.
	maxNeighbours = 24
	// halfLife is the time in which an observation loses half of its weight: what images do changes while they run.
	halfLife = 15 * time.Second
	// forgetAfter is the time after its last observation from which an image may be forgotten for another one.
	forgetAfter = 10 * halfLife
	// checkInterval is the time between two evaluations of a model.
	checkInterval = time.Second
	// maxDeviation limits the logarithm of an observed ratio. Single tasks take many times as long as others of their image.
	maxDeviation = 1.0
	// ridge is the weight with which an effect is assumed to be 0 before it is observed.
	ridge = 1.0
	// A pair is found with an effect of at least minEffect, by the logarithm, that exceeds its standard error foundErrors
	// times, among some hundred pairs that are tested each second; it is kept down to keptEffect and keptErrors.
	minEffect, keptEffect   = 0.14, 0.12
	foundErrors, keptErrors = 5.5, 2.5
	// minExposures is the weight of the observations beside an image, and minWorkers the number of workers they come from,
	// that a pair needs: a single slow worker proves nothing.
	minExposures = 12
	minWorkers   = 3
	// biasWeight is the weight of an observation in the moving average of a worker's unexplained slowdown.
	biasWeight = 0.15
	// maxWorkers is the number of workers whose slowdown is remembered.
	maxWorkers = 20_000
)

// Neighbour is an image that ran beside a run.
type Neighbour struct {
	Image string
	// Share is the share of the run's time during which the image ran beside it, from 0 to 1; a throttled task counts by its
	// speed.
	Share float64
}

// Observation is what one run, or one sample of a run that goes on, showed.
type Observation struct {
	Image  string
	Worker string
	// Ratio is the observed duration or tail latency, divided by the expected one.
	Ratio float64
	// Weight is 1 for a whole run and less for samples that depend on one another.
	Weight float64
	// Use is the used share of the worker, from 0 to 1.
	Use        float64
	Neighbours []Neighbour
}

// Pair is a pair of images of which one slows the other one down.
type Pair struct {
	// Slowed is the image that is slowed down, and By the image beside it.
	Slowed, By string
	// Slowdown is the share by which runs take longer, or their tail is longer: 0.5 for half as much again.
	Slowdown float64
	// Errors is the effect in units of its standard error, and Exposures the weight of the observations beside the image.
	Errors, Exposures float64
}

// Table estimates the slowdown of each image by each other image. Its methods must not be called concurrently.
type Table struct {
	// OnChange is called for each pair that is found, and with found false for each that is dropped; nil for none.
	OnChange func(p Pair, found bool)

	models map[string]*model
	// bias is the moving average of the unexplained slowdown of each worker.
	bias  map[string]float64
	pairs map[[2]string]Pair
}

// New returns an empty table.
func New() *Table {
	return &Table{models: make(map[string]*model), bias: make(map[string]float64), pairs: make(map[[2]string]Pair)}
}

// Add adds an observation. Those without an image or with a ratio that isn't a positive number are ignored.
func (t *Table) Add(o Observation, now time.Duration) {
	if o.Image == "" || !(o.Ratio > 0) || math.IsInf(o.Ratio, 1) || !(o.Weight > 0) {
		return
	}
	m := t.modelOf(o.Image, now)
	if m == nil {
		return
	}
	y := min(maxDeviation, max(-maxDeviation, math.Log(o.Ratio)))
	bias := t.bias[o.Worker]
	x := m.row(&o)
	m.add(x, y-bias, min(1, o.Weight), now)
	for _, n := range o.Neighbours {
		m.markWorker(n.Image, o.Worker)
	}
	_, known := t.bias[o.Worker]
	if known || len(t.bias) < maxWorkers {
		t.bias[o.Worker] = bias + biasWeight*min(1, o.Weight)*(y-m.fitted(x)-bias)
	}
	if now-m.checkedAt >= checkInterval {
		m.checkedAt = now
		t.check(o.Image, m)
	}
}

// modelOf returns the model of an image, or nil if there are too many images. A model whose observations have faded makes
// room for another one.
func (t *Table) modelOf(image string, now time.Duration) *model {
	m := t.models[image]
	if m != nil {
		return m
	}
	if len(t.models) >= maxImages {
		oldest := t.oldest()
		if now-t.models[oldest].updatedAt > forgetAfter {
			t.forget(oldest)
		}
	}
	if len(t.models) >= maxImages {
		return nil
	}
	m = newModel(now)
	t.models[image] = m
	return m
}

// oldest returns the image whose last observation is the oldest, the first by name of several.
func (t *Table) oldest() string {
	oldest := ""
	for name, m := range t.models {
		first := oldest == "" || m.updatedAt < t.models[oldest].updatedAt
		if first || m.updatedAt == t.models[oldest].updatedAt && name < oldest {
			oldest = name
		}
	}
	return oldest
}

func (t *Table) forget(image string) {
	delete(t.models, image)
	for key, p := range t.pairs {
		if key[0] == image {
			t.drop(key, p)
		}
	}
}

func (t *Table) drop(key [2]string, p Pair) {
	delete(t.pairs, key)
	if t.OnChange != nil {
		t.OnChange(p, false)
	}
}

// check evaluates a model and updates the pairs in which its image is slowed down.
func (t *Table) check(image string, m *model) {
	m.solve()
	for i, c := range m.columns {
		key := [2]string{image, c.image}
		old, found := t.pairs[key]
		p := Pair{Slowed: image, By: c.image, Exposures: m.exposures(i)}
		effect, err := m.effect(i)
		p.Slowdown = math.Expm1(effect)
		if err > 0 {
			p.Errors = effect / err
		}
		switch {
		case found && (effect < keptEffect || p.Errors < keptErrors):
			t.drop(key, old)
		case found:
			t.pairs[key] = p
		case effect >= minEffect && p.Errors >= foundErrors && p.Exposures >= minExposures && bits.OnesCount64(c.workers) >= minWorkers:
			t.pairs[key] = p
			if t.OnChange != nil {
				t.OnChange(p, true)
			}
		}
	}
}

// Slowdown returns by which share the image is slowed down by a neighbour, 0 if the pair isn't found.
func (t *Table) Slowdown(image, neighbour string) float64 {
	return t.pairs[[2]string{image, neighbour}].Slowdown
}

// Empty reports whether no pair is found.
func (t *Table) Empty() bool { return len(t.pairs) == 0 }

// Pairs returns the pairs found, the strongest first.
func (t *Table) Pairs() []Pair {
	all := make([]Pair, 0, len(t.pairs))
	for _, p := range t.pairs {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.By, b.By))
	})
	return all
}

// workerBit returns the bit that stands for a worker in a set of 64.
func workerBit(worker string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(worker))
	return 1 << (h.Sum32() % 64)
}
