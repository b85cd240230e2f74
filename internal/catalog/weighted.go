package catalog

// Weighted is a service with its weight among the targets of a route.
type Weighted struct {
	Service string
	Weight  float64
}
