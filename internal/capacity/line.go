package capacity

import "math"

// Line is a straight line fitted to points by least squares.
type Line struct {
	Base     float64 // cost at size 0
	Slope    float64 // cost per unit of size
	Residual float64 // root mean square deviation divided by the mean cost
}

// minSizes is the smallest number of distinct sizes that a line is fitted to.
const minSizes = 3

// Fit returns the line that fits points best. It fails with TooFewPointsError when
// there are fewer than three distinct sizes.
func Fit(points []Point) (Line, error) {
	if distinctSizes(points) < minSizes {
		return Line{}, &TooFewPointsError{Sizes: distinctSizes(points)}
	}
	n := float64(len(points))
	var sumSize, sumCost, sumSizeSquared, sumProduct float64
	for _, p := range points {
		sumSize += p.Size
		sumCost += p.Cost
		sumSizeSquared += p.Size * p.Size
		sumProduct += p.Size * p.Cost
	}
	slope := (n*sumProduct - sumSize*sumCost) / (n*sumSizeSquared - sumSize*sumSize)
	line := Line{Slope: slope, Base: (sumCost - slope*sumSize) / n}
	line.Residual = residual(points, line, sumCost/n)
	return line, nil
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

func residual(points []Point, line Line, mean float64) float64 {
	var sum float64
	for _, p := range points {
		deviation := p.Cost - line.At(p.Size)
		sum += deviation * deviation
	}
	return math.Sqrt(sum/float64(len(points))) / math.Abs(mean)
}

func distinctSizes(points []Point) int {
	distinct := map[float64]bool{}
	for _, p := range points {
		distinct[p.Size] = true
	}
	return len(distinct)
}
