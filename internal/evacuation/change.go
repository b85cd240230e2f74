package evacuation

import "github.com/plantainmux/plantainmux/internal/keyed"

// Change is a change of what a daemon knows of a data centre.
type Change struct {
	DataCentre string
	Kind       Kind
	Position   keyed.Position
	Source     Source
}
