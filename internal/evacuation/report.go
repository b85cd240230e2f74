package evacuation

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Report is the state of one data centre in the form in which daemons tell each other.
type Report struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Ordinal    uint64 // of the position of the latest change
	Evacuated  bool
}

func (r Report) statement() statement {
	return statement{position: keyed.PositionOf(r.Ordinal), evacuated: r.Evacuated}
}

// Latest returns the reports of two lists, of each data centre the one with the latest change.
func Latest(a, b []Report) []Report {
	if len(a) == 0 || len(b) == 0 {
		return slices.Concat(a, b)
	}
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(y.Ordinal, x.Ordinal))
	})
	return slices.CompactFunc(all, func(x, y Report) bool { return x.DataCentre == y.DataCentre })
}
