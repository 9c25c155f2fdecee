package schedule

import (
	"cmp"
	"slices"
	"strings"

	"samphirekeel.example/keel/work"
)

// candidates holds a pool's usable workers during one placement pass, in which free capacity only shrinks.
type candidates struct {
	workers []*workerState
	// groups holds the same workers by data centre.
	groups []*candidateGroup
}

// candidateGroup holds the candidates in one data centre.
type candidateGroup struct {
	dataCentre string
	workers    []*workerState
	// maxFree is the largest free capacity of a worker in each dimension when the pass began.
	maxFree work.Size
	// unplaceable holds the smallest sizes for which no worker of the group has room; without it, every waiting task of a
	// backlog would be compared with every worker.
	unplaceable []work.Size
}

// add adds a worker, whose data centre may be new.
func (c *candidates) add(w *workerState) {
	c.workers = append(c.workers, w)
	for _, g := range c.groups {
		if g.dataCentre == w.DataCentre {
			g.add(w)
			return
		}
	}
	g := &candidateGroup{dataCentre: w.DataCentre}
	g.add(w)
	c.groups = append(c.groups, g)
}

func (g *candidateGroup) add(w *workerState) {
	free := w.free()
	if len(g.workers) == 0 {
		g.maxFree = free
	}
	g.workers = append(g.workers, w)
	g.maxFree.MilliCores = max(g.maxFree.MilliCores, free.MilliCores)
	g.maxFree.MemoryMB = max(g.maxFree.MemoryMB, free.MemoryMB)
	g.maxFree.Accelerators = max(g.maxFree.Accelerators, free.Accelerators)
}

// addAll adds the pool's workers that are usable.
func (c *candidates) addAll(p *pool, usable func(*workerState) bool) {
	for w := range p.workers {
		if usable(w) {
			c.add(w)
		}
	}
}

// mayHold reports whether some group may have a worker with room for the size.
func (c *candidates) mayHold(size work.Size) bool {
	return slices.ContainsFunc(c.groups, func(g *candidateGroup) bool { return !g.isUnplaceable(size) })
}

// startingWith returns the groups, that of the named data centre first.
func (c *candidates) startingWith(dataCentre string) []*candidateGroup {
	for i, g := range c.groups {
		if g.dataCentre == dataCentre {
			c.groups[0], c.groups[i] = c.groups[i], c.groups[0]
			break
		}
	}
	return c.groups
}

// mostFree returns up to n data centres that are eligible, those with the most free capacity on workers that have room
// for the size first. It leaves out data centres without such a worker.
func (c *candidates) mostFree(size work.Size, n int, eligible func(dataCentre string) bool) []string {
	type option struct {
		dataCentre string
		milliCores int64
	}
	var options []option
	for _, g := range c.groups {
		if !eligible(g.dataCentre) || g.isUnplaceable(size) {
			continue
		}
		free, found := g.freeFor(size)
		if found {
			options = append(options, option{g.dataCentre, free})
			continue
		}
		g.markUnplaceable(size)
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.milliCores, a.milliCores), strings.Compare(a.dataCentre, b.dataCentre))
	})
	var names []string
	for _, o := range options[:min(n, len(options))] {
		names = append(names, o.dataCentre)
	}
	return names
}

// markUnplaceable records that no worker of the group has room for the size.
func (g *candidateGroup) markUnplaceable(size work.Size) {
	g.unplaceable = append(slices.DeleteFunc(g.unplaceable, func(larger work.Size) bool { return larger.Holds(size) }), size)
}

// isUnplaceable reports whether no worker of the group had room for the size when the pass began, or a task of the same
// size or smaller found none in this pass.
func (g *candidateGroup) isUnplaceable(size work.Size) bool {
	if !g.maxFree.Holds(size) {
		return true
	}
	for _, f := range g.unplaceable {
		if size.Holds(f) {
			return true
		}
	}
	return false
}

// freeFor returns the free milli-cores of the workers that have room for the size, and whether there is such a worker: a
// best-effort task fits on one without free milli-cores.
func (g *candidateGroup) freeFor(size work.Size) (milliCores int64, found bool) {
	for _, w := range g.workers {
		free := w.free()
		if free.Holds(size) {
			milliCores += free.MilliCores
			found = true
		}
	}
	return milliCores, found
}
