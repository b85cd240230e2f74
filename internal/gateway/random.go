package gateway

import "math/rand/v2"

// random returns a pseudo-random number in [0, 1).
func random() float64 { return rand.Float64() }
