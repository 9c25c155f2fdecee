package interference

import (
	"math"
	"time"
)

const (
	// The first values of a row are the constant 1 and the use of the worker; the neighbours follow.
	useIndex       = 1
	firstNeighbour = 2
	// rowSize is the number of values of a row.
	rowSize = firstNeighbour + maxNeighbours
)

// row is what a slowdown is related to.
type row [rowSize]float64

// column is a neighbour that a model knows.
type column struct {
	image string
	// workers is a set of workers on which the neighbour was observed, by workerBit.
	workers uint64
}

// model is the regression of an image's slowdown. Its sums are those of the normal equations.
type model struct {
	columns []column
	// products holds the sums of the products of each two values of a row, targets those with the slowdown; squares is the
	// sum of the squared slowdowns and weight that of the weights.
	products        [rowSize][rowSize]float64
	targets         row
	squares, weight float64
	// effects and errors are the solution and its standard errors.
	effects, errors row

	updatedAt, checkedAt time.Duration
}

func newModel(now time.Duration) *model { return &model{updatedAt: now, checkedAt: now} }

// row returns the values of an observation, and adds columns for new neighbours while there is room.
func (m *model) row(o *Observation) *row {
	x := &row{0: 1, useIndex: min(1, max(0, o.Use))}
	for _, n := range o.Neighbours {
		i := m.columnOf(n.Image)
		if i >= 0 && n.Share > 0 {
			x[firstNeighbour+i] = min(1, x[firstNeighbour+i]+n.Share)
		}
	}
	return x
}

// columnOf returns the index of a neighbour's column, or -1 if there is no room for it. One that has faded makes room.
func (m *model) columnOf(image string) int {
	for i := range m.columns {
		if m.columns[i].image == image {
			return i
		}
	}
	if len(m.columns) < maxNeighbours {
		m.columns = append(m.columns, column{image: image})
		return len(m.columns) - 1
	}
	const faded = 0.1
	for i := range m.columns {
		if m.exposures(i) < faded {
			m.columns[i] = column{image: image}
			m.clear(firstNeighbour + i)
			return i
		}
	}
	return -1
}

func (m *model) clear(index int) {
	for i := range rowSize {
		m.products[index][i], m.products[i][index] = 0, 0
	}
	m.targets[index], m.effects[index], m.errors[index] = 0, 0, 0
}

func (m *model) markWorker(image, worker string) {
	for i := range m.columns {
		if m.columns[i].image == image {
			m.columns[i].workers |= workerBit(worker)
		}
	}
}

// add adds an observation, after the earlier ones have lost weight by the time since the last one.
func (m *model) add(x *row, y, weight float64, now time.Duration) {
	keep := math.Exp2(-float64(now-m.updatedAt) / float64(halfLife))
	m.updatedAt = now
	used := firstNeighbour + len(m.columns)
	for i := range used {
		for j := range used {
			m.products[i][j] = keep*m.products[i][j] + weight*x[i]*x[j]
		}
		m.targets[i] = keep*m.targets[i] + weight*x[i]*y
	}
	m.squares = keep*m.squares + weight*y*y
	m.weight = keep*m.weight + weight
}

// exposures returns the weight of the observations beside a neighbour.
func (m *model) exposures(i int) float64 { return m.products[firstNeighbour+i][firstNeighbour+i] }

// effect returns the effect of a neighbour on the logarithm of the slowdown, with its standard error.
func (m *model) effect(i int) (effect, err float64) {
	return m.effects[firstNeighbour+i], m.errors[firstNeighbour+i]
}

// fitted returns the slowdown that the latest solution expects.
func (m *model) fitted(x *row) float64 {
	sum := 0.0
	for i := range firstNeighbour + len(m.columns) {
		sum += m.effects[i] * x[i]
	}
	return sum
}

// solve solves the normal equations with a Cholesky decomposition.
func (m *model) solve() {
	used := firstNeighbour + len(m.columns)
	var lower [rowSize][rowSize]float64
	for i := range used {
		for j := range i + 1 {
			sum := m.products[i][j]
			if i == j {
				sum += ridge
			}
			for k := range j {
				sum -= lower[i][k] * lower[j][k]
			}
			if i == j {
				lower[i][i] = math.Sqrt(max(sum, ridge/1000))
			} else {
				lower[i][j] = sum / lower[j][j]
			}
		}
	}
	m.effects = solveLower(&lower, &m.targets, used)
	explained := 0.0
	for i := range used {
		explained += m.effects[i] * m.targets[i]
	}
	variance := max(0, m.squares-explained) / max(1, m.weight-float64(used))
	for i := range used {
		var unit row
		unit[i] = 1
		m.errors[i] = math.Sqrt(variance * solveLower(&lower, &unit, used)[i])
	}
}

// solveLower solves L·Lᵀ·x = b.
func solveLower(lower *[rowSize][rowSize]float64, b *row, used int) row {
	var x row
	for i := range used {
		sum := b[i]
		for k := range i {
			sum -= lower[i][k] * x[k]
		}
		x[i] = sum / lower[i][i]
	}
	for i := used - 1; i >= 0; i-- {
		sum := x[i]
		for k := i + 1; k < used; k++ {
			sum -= lower[k][i] * x[k]
		}
		x[i] = sum / lower[i][i]
	}
	return x
}
