package sloper

import "math"

// Line is a least-squares fit of cost over size.
type Line struct {
	Base     float64
	Slope    float64
	Residual float64
}

// Fit returns the least-squares line through points; the residual is the largest relative error over them.
func Fit(sizes, costs []float64) Line {
	n := float64(len(sizes))
	var sx, sy, sxx, sxy float64
	for i := range sizes {
		sx += sizes[i]
		sy += costs[i]
		sxx += sizes[i] * sizes[i]
		sxy += sizes[i] * costs[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l := Line{Slope: slope, Base: (sy - slope*sx) / n}
	for i := range sizes {
		if costs[i] != 0 {
			l.Residual = math.Max(l.Residual, math.Abs(l.At(sizes[i])-costs[i])/math.Abs(costs[i]))
		}
	}

	return l
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}
