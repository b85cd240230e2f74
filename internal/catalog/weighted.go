package catalog

// Weighted is a service and its share of a route's requests.
type Weighted struct {
	Service string
	Weight  float64
}
