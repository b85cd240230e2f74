package formation

import (
	"strconv"
	"strings"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

// Order is one order to one endpoint.
type Order struct {
	To        ledger.Member
	Operation Operation
	Group     string
	Epoch     uint64
	Model     string   // of Join and Stage
	Members   []string // of Join; the first is the head
	Loads     bool     // it reads a model from the shared store of weights
}

// key tells whether two orders ask the same of the same life of an endpoint.
func (o Order) key() string {
	return o.To.ID + "/" + strconv.FormatInt(o.To.Born, 10) + "/" + string(o.Operation) + "/" + o.Group + "/" + strconv.FormatUint(o.Epoch, 10) + "/" + o.Model
}

// isSpare reports whether the order keeps a spare endpoint loaded.
func (o Order) isSpare() bool {
	return o.Operation == Join && strings.HasPrefix(o.Group, sparePrefix)
}
