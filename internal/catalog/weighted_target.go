package catalog

// WeightedTarget is a service with its weight among the targets of a route.
type WeightedTarget struct {
	Service string
	Weight  float64
}
