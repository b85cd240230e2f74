package capacity

// Point is one measured cost at one size.
type Point struct {
	Size float64
	Cost float64
}
