package sloper

import "math"

// LinearFit is a least-squares line of cost over size. MaxRelativeError is the largest relative error of the fitted points,
// one for 100 %. The printed table calls Intercept base and MaxRelativeError residual.
type LinearFit struct {
	Intercept        float64
	Slope            float64
	MaxRelativeError float64
}

// FitLine fits a line to the costs at the given sizes. A point whose cost is zero does not count towards
// MaxRelativeError.
func FitLine(sizes, costs []float64) LinearFit {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i := range sizes {
		sumX += sizes[i]
		sumY += costs[i]
		sumXX += sizes[i] * sizes[i]
		sumXY += sizes[i] * costs[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	fit := LinearFit{Slope: slope, Intercept: (sumY - slope*sumX) / n}
	for i := range sizes {
		if costs[i] != 0 {
			fit.MaxRelativeError = math.Max(fit.MaxRelativeError, math.Abs(fit.Predict(sizes[i])-costs[i])/math.Abs(costs[i]))
		}
	}

	return fit
}

// Predict returns the cost at a size.
func (f LinearFit) Predict(size float64) float64 {
	return f.Intercept + f.Slope*size
}
