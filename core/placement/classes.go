package placement

import "waxwingslip.example/core/record"

// classID is a dense number for a class name, so that ranking indexes slices instead of maps.
type classID int32

// classTable assigns IDs to classes and holds the learned slowdowns and the exclusion rules between them.
type classTable struct {
	ids   map[string]classID
	names []string
	// slowdownOf[a][b] is the slowdown of class a next to class b; slowdownBy[a][b] is that of b next to a.
	slowdownOf, slowdownBy [][]float32
	// excluded[a] is nil if no rule names a.
	excluded   [][]bool
	exclusions []record.Exclusion
	estimator  Estimator
	// isService[a] is true if tasks of class a are replicas of services; it selects the prior.
	isService                []bool
	batchPrior, servicePrior float64
}

func newClassTable(w *Weights) *classTable {
	return &classTable{ids: map[string]classID{}, batchPrior: w.BatchPrior, servicePrior: w.ServicePrior}
}

// idForTask returns the ID of a task's class. It marks the class as one of services if the task is a replica.
func (t *classTable) idForTask(name string, p record.Priority) classID {
	id := t.id(name)
	if p == record.PriorityService && !t.isService[id] {
		t.isService[id] = true
		t.refreshNeighbour(id)
	}
	return id
}

// id returns the ID of a class and adds the class if it is new.
func (t *classTable) id(name string) classID {
	if id, ok := t.ids[name]; ok {
		return id
	}
	id := classID(len(t.names))
	t.ids[name] = id
	t.names = append(t.names, name)
	t.isService = append(t.isService, false)
	for i := range t.slowdownOf {
		t.slowdownOf[i] = append(t.slowdownOf[i], t.expectedSlowdown(classID(i), id))
		t.slowdownBy[i] = append(t.slowdownBy[i], t.expectedSlowdown(id, classID(i)))
	}
	t.slowdownOf = append(t.slowdownOf, t.slowdownRow(id, false))
	t.slowdownBy = append(t.slowdownBy, t.slowdownRow(id, true))
	t.rebuildExclusions()
	return id
}

func (t *classTable) slowdownRow(id classID, asNeighbour bool) []float32 {
	row := make([]float32, len(t.names))
	for i := range row {
		if asNeighbour {
			row[i] = t.expectedSlowdown(classID(i), id)
		} else {
			row[i] = t.expectedSlowdown(id, classID(i))
		}
	}
	return row
}

// expectedSlowdown returns the mean of the learned slowdown and the prior, weighted by confidence.
func (t *classTable) expectedSlowdown(victim, neighbour classID) float32 {
	prior := t.batchPrior
	if t.isService[neighbour] {
		prior = t.servicePrior
	}
	if t.estimator == nil {
		return float32(prior)
	}
	slowdown, confidence := t.estimator.Slowdown(t.names[victim], t.names[neighbour])
	return float32(confidence*slowdown + (1-confidence)*prior)
}

// refreshNeighbour updates the slowdowns that one class causes.
func (t *classTable) refreshNeighbour(id classID) {
	t.slowdownBy[id] = t.slowdownRow(id, true)
	for victim := range t.slowdownOf {
		t.slowdownOf[victim][id] = t.slowdownBy[id][victim]
	}
}

// setEstimator updates all slowdowns, which costs two calls per ordered pair of classes.
func (t *classTable) setEstimator(e Estimator) {
	t.estimator = e
	for i := range t.names {
		t.slowdownOf[i] = t.slowdownRow(classID(i), false)
		t.slowdownBy[i] = t.slowdownRow(classID(i), true)
	}
}

func (t *classTable) setExclusions(rules []record.Exclusion) {
	t.exclusions = append([]record.Exclusion(nil), rules...)
	for _, x := range rules {
		t.id(x.A)
		t.id(x.B)
	}
	t.rebuildExclusions()
}

func (t *classTable) rebuildExclusions() {
	t.excluded = make([][]bool, len(t.names))
	mark := func(a, b classID) {
		if t.excluded[a] == nil {
			t.excluded[a] = make([]bool, len(t.names))
		}
		t.excluded[a][b] = true
	}
	for _, x := range t.exclusions {
		a, okA := t.ids[x.A]
		b, okB := t.ids[x.B]
		if okA && okB {
			mark(a, b)
			mark(b, a)
		}
	}
}

// excludes reports whether the requested class must not share a worker with the named class of a run.
func (n *node) excludes(r *request, class string) bool {
	for i := range n.classes {
		if c := &n.classes[i]; r.excluded[c.class] && r.names[c.class] == class {
			return true
		}
	}
	return false
}

// plannedExcluded reports whether the class must not share a worker with a planned bind; its run cannot be evicted yet.
func (n *node) plannedExcluded(r *request) bool {
	for i := range n.planned {
		if n.excludes(r, n.planned[i].Class) {
			return true
		}
	}
	return false
}
