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
	// unplaceable holds the sizes for which no worker of the group has room; without it, every waiting task of a
	// backlog would be compared with every worker.
	unplaceable []work.Size
}

// add adds a worker, whose data centre may be new.
func (c *candidates) add(w *workerState) {
	c.workers = append(c.workers, w)
	for _, g := range c.groups {
		if g.dataCentre == w.DataCentre {
			g.workers = append(g.workers, w)
			return
		}
	}
	c.groups = append(c.groups, &candidateGroup{dataCentre: w.DataCentre, workers: []*workerState{w}})
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
		g.unplaceable = append(g.unplaceable, size)
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

// isUnplaceable reports whether a task of the same size or smaller found no room in this pass.
func (g *candidateGroup) isUnplaceable(size work.Size) bool {
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
