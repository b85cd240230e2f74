package formation

import (
	"strconv"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

// Order is an instruction to one endpoint.
type Order struct {
	To        ledger.Member
	Operation Operation
	Group     string
	Epoch     uint64
	Model     string   // for Join and Stage
	Members   []string // endpoint IDs, for Join; the first is the head
	NeedsLoad bool     // requires a load from the shared weight store
	// EffectAfter is how long the order takes to take effect, as far as is known.
	EffectAfter time.Duration
}

// key returns a string that is equal for two orders exactly if they request the
// same of the same incarnation of an endpoint.
func (o Order) key() string {
	return o.To.ID + "/" + strconv.FormatInt(o.To.Incarnation, 10) + "/" + string(o.Operation) + "/" + o.Group + "/" + strconv.FormatUint(o.Epoch, 10) + "/" + o.Model
}

// isSpare reports whether the order preloads a model on a spare endpoint.
func (o Order) isSpare() bool {
	return o.Operation == Join && strings.HasPrefix(o.Group, sparePrefix)
}
