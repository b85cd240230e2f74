package placement

import "github.com/plantainmux/plantainmux/internal/targetstats"

// Announced is what endpoints have announced about the requests that they take.
type Announced struct {
	Holds  *targetstats.Holds
	Limits *targetstats.Limits
}
