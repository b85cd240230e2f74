package capacity

// Point is a measured cost at a size.
type Point struct {
	Size float64
	Cost float64
}
