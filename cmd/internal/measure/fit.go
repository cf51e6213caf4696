package main

import (
	"fmt"
	"math"
)

// Share of one daemon at the target size of docs/design.md section 1.2: 1,400 workers and 22,600 tasks on 27 daemons.
const (
	targetWorkers = 1400.0 / 27
	targetTasks   = 22600.0 / 27
)

// fit is value = base + perWorker*workers + perTask*tasks by least squares, with its coefficient of determination.
type fit struct {
	base, perWorker, perTask, r2 float64
}

func (f fit) at(workers, tasks float64) float64 {
	return f.base + f.perWorker*workers + f.perTask*tasks
}

// fitOf fits one value of the samples. ok is false if the sizes do not determine all three coefficients.
func fitOf(all []sample, value int) (f fit, ok bool) {
	var m [3][4]float64
	for _, s := range all {
		x := [3]float64{1, s.workers, s.tasks}
		for i := range 3 {
			for j := range 3 {
				m[i][j] += x[i] * x[j]
			}
			m[i][3] += x[i] * s.values[value]
		}
	}
	c, ok := solve(m)
	if !ok {
		return f, false
	}
	f = fit{base: c[0], perWorker: c[1], perTask: c[2]}
	avg := mean(all).values[value]
	var rest, total float64
	for _, s := range all {
		rest += math.Pow(s.values[value]-f.at(s.workers, s.tasks), 2)
		total += math.Pow(s.values[value]-avg, 2)
	}
	f.r2 = 1 - rest/total
	return f, true
}

// solve solves three linear equations by elimination with pivots.
func solve(m [3][4]float64) (x [3]float64, ok bool) {
	for c := range 3 {
		p := c
		for r := c + 1; r < 3; r++ {
			if math.Abs(m[r][c]) > math.Abs(m[p][c]) {
				p = r
			}
		}
		if math.Abs(m[p][c]) < 1e-9 {
			return x, false
		}
		m[c], m[p] = m[p], m[c]
		for r := range 3 {
			if r == c {
				continue
			}
			k := m[r][c] / m[c][c]
			for j := c; j < 4; j++ {
				m[r][j] -= k * m[c][j]
			}
		}
	}
	for i := range 3 {
		x[i] = m[i][3] / m[i][i]
	}
	return x, true
}

func printFit(name string, all []sample) {
	fmt.Printf("\nfit of %s, per daemon: value = base + a*workers + b*tasks; at target: %.1f workers, %.0f tasks\n",
		name, targetWorkers, targetTasks)
	fmt.Printf("%-11s %10s %12s %12s %6s %10s\n", "value", "base", "a", "b", "R2", "at target")
	for i, n := range valueNames {
		f, ok := fitOf(all, i)
		if !ok {
			fmt.Printf("%-11s the sizes do not determine a fit\n", n)
			continue
		}
		fmt.Printf("%-11s %10.3f %12.5f %12.5f %6.3f %10.2f\n", n, f.base, f.perWorker, f.perTask, f.r2,
			f.at(targetWorkers, targetTasks))
	}
}
