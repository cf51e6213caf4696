package main

import (
	"fmt"
	"math"
)

// Workers and tasks per daemon at the target size of docs/design.md section 1.2: 1,400 workers and 22,600 tasks on 27
// daemons.
const (
	targetWorkers = 1400.0 / 27
	targetTasks   = 22600.0 / 27
)

// fit is the least-squares fit value = base + perWorker*workers + perTask*tasks, with r2, its coefficient of
// determination.
type fit struct {
	base, perWorker, perTask, r2 float64
}

// predict returns the fitted value for a size.
func (f fit) predict(workers, tasks float64) float64 {
	return f.base + f.perWorker*workers + f.perTask*tasks
}

// computeFit fits one value of the samples. ok is false if the sizes do not determine all three coefficients.
func computeFit(samples []sample, valueIndex int) (f fit, ok bool) {
	var matrix [3][4]float64
	for _, s := range samples {
		terms := [3]float64{1, s.workers, s.tasks}
		for i := range 3 {
			for j := range 3 {
				matrix[i][j] += terms[i] * terms[j]
			}
			matrix[i][3] += terms[i] * s.values[valueIndex]
		}
	}
	coefficients, ok := solveLinear(matrix)
	if !ok {
		return f, false
	}
	f = fit{base: coefficients[0], perWorker: coefficients[1], perTask: coefficients[2]}
	meanValue := meanOf(samples).values[valueIndex]
	var residualSumSquares, totalSumSquares float64
	for _, s := range samples {
		residualSumSquares += math.Pow(s.values[valueIndex]-f.predict(s.workers, s.tasks), 2)
		totalSumSquares += math.Pow(s.values[valueIndex]-meanValue, 2)
	}
	f.r2 = 1 - residualSumSquares/totalSumSquares
	return f, true
}

// solveLinear solves three linear equations by Gauss-Jordan elimination with partial pivoting. ok is false if the
// system is singular.
func solveLinear(m [3][4]float64) (x [3]float64, ok bool) {
	for column := range 3 {
		pivotRow := column
		for row := column + 1; row < 3; row++ {
			if math.Abs(m[row][column]) > math.Abs(m[pivotRow][column]) {
				pivotRow = row
			}
		}
		if math.Abs(m[pivotRow][column]) < 1e-9 {
			return x, false
		}
		m[column], m[pivotRow] = m[pivotRow], m[column]
		for row := range 3 {
			if row == column {
				continue
			}
			factor := m[row][column] / m[column][column]
			for j := column; j < 4; j++ {
				m[row][j] -= factor * m[column][j]
			}
		}
	}
	for i := range 3 {
		x[i] = m[i][3] / m[i][i]
	}
	return x, true
}

func printFit(name string, samples []sample) {
	fmt.Printf("\nfit of %s, per daemon: value = base + a*workers + b*tasks; at target: %.1f workers, %.0f tasks\n",
		name, targetWorkers, targetTasks)
	fmt.Printf("%-11s %10s %12s %12s %6s %10s\n", "value", "base", "a", "b", "R2", "at target")
	for i, n := range valueNames {
		f, ok := computeFit(samples, i)
		if !ok {
			fmt.Printf("%-11s the sizes do not determine a fit\n", n)
			continue
		}
		fmt.Printf("%-11s %10.3f %12.5f %12.5f %6.3f %10.2f\n", n, f.base, f.perWorker, f.perTask, f.r2,
			f.predict(targetWorkers, targetTasks))
	}
}
