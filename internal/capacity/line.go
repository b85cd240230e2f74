package capacity

import "math"

// Line is a straight line fitted to points by least squares.
type Line struct {
	Base     float64 // cost at size zero
	Slope    float64 // cost of one unit of size
	Residual float64 // root mean square of the deviations, as a share of the mean cost
}

// minPoints is the smallest number of points that a line is fitted to.
const minPoints = 3

// Fit returns the line through points. It fails with TooFewPointsError when
// there are fewer than three sizes.
func Fit(points []Point) (Line, error) {
	if sizes(points) < minPoints {
		return Line{}, &TooFewPointsError{Sizes: sizes(points)}
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

func sizes(points []Point) int {
	distinct := map[float64]bool{}
	for _, p := range points {
		distinct[p.Size] = true
	}
	return len(distinct)
}
