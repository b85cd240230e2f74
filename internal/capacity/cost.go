package capacity

// Cost is one averaged cost of a daemon.
type Cost struct {
	Name  string
	Value float64
}
