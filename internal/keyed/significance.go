package keyed

// Significance says what a record tells beyond the previous ones of its key.
type Significance int

// Significances of a record.
const (
	News     Significance = iota // it is passed on to waiting readers
	Repeat                       // it tells nothing new: it is served to those who read all keys
	Outdated                     // it was written before one that is known: it is served to nobody
)
