package capacity

// Cost is a resource cost, averaged over daemons.
type Cost struct {
	Name  string
	Value float64
}
