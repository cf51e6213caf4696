package placement

import "waxwingslip.example/core/record"

// classID is a dense number for a class name, so that ranking indexes slices instead of maps.
type classID int32

// classTable numbers classes and holds learned effects and exclusion rules between them.
type classTable struct {
	ids   map[string]classID
	names []string
	// suffers[a][b] is the slowdown of class a next to class b; causes[a][b] is that of b next to a.
	suffers, causes [][]float32
	// excluded[a] is nil if no rule names a.
	excluded   [][]bool
	exclusions []record.Exclusion
	estimator  Estimator
	// service[a] is true if tasks of class a are replicas of services; it decides the prior.
	service                  []bool
	batchPrior, servicePrior float64
}

func newClassTable(w *Weights) *classTable {
	return &classTable{ids: map[string]classID{}, batchPrior: w.BatchPrior, servicePrior: w.ServicePrior}
}

// ofTask returns the number of the class of a task.
func (t *classTable) ofTask(name string, p record.Priority) classID {
	id := t.id(name)
	if p == record.PriorityService && !t.service[id] {
		t.service[id] = true
		t.refresh(id)
	}
	return id
}

// id returns the number of a class and adds the class if it is new.
func (t *classTable) id(name string) classID {
	if id, ok := t.ids[name]; ok {
		return id
	}
	id := classID(len(t.names))
	t.ids[name] = id
	t.names = append(t.names, name)
	t.service = append(t.service, false)
	for i := range t.suffers {
		t.suffers[i] = append(t.suffers[i], t.effect(classID(i), id))
		t.causes[i] = append(t.causes[i], t.effect(id, classID(i)))
	}
	t.suffers = append(t.suffers, t.row(id, false))
	t.causes = append(t.causes, t.row(id, true))
	t.rebuildExclusions()
	return id
}

func (t *classTable) row(id classID, asNeighbour bool) []float32 {
	row := make([]float32, len(t.names))
	for i := range row {
		if asNeighbour {
			row[i] = t.effect(classID(i), id)
		} else {
			row[i] = t.effect(id, classID(i))
		}
	}
	return row
}

// effect mixes the learned slowdown with the prior by confidence.
func (t *classTable) effect(victim, neighbour classID) float32 {
	prior := t.batchPrior
	if t.service[neighbour] {
		prior = t.servicePrior
	}
	if t.estimator == nil {
		return float32(prior)
	}
	slowdown, confidence := t.estimator.Effect(t.names[victim], t.names[neighbour])
	return float32(confidence*slowdown + (1-confidence)*prior)
}

// refresh reads the effects of one class as a neighbour again.
func (t *classTable) refresh(id classID) {
	t.causes[id] = t.row(id, true)
	for victim := range t.suffers {
		t.suffers[victim][id] = t.causes[id][victim]
	}
}

// setEstimator reads all effects again, which costs one call per pair of classes.
func (t *classTable) setEstimator(e Estimator) {
	t.estimator = e
	for i := range t.names {
		t.suffers[i] = t.row(classID(i), false)
		t.causes[i] = t.row(classID(i), true)
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

// excludes reports whether the requested class may not share a worker with the named class of a run.
func (n *node) excludes(r *request, class string) bool {
	for i := range n.classes {
		if c := &n.classes[i]; r.excluded[c.class] && r.names[c.class] == class {
			return true
		}
	}
	return false
}

// plannedExcluded reports whether a planned bind rules the class out; such a run cannot be evicted yet.
func (n *node) plannedExcluded(r *request) bool {
	for i := range n.planned {
		if n.excludes(r, n.planned[i].Class) {
			return true
		}
	}
	return false
}
