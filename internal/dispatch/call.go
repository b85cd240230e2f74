package dispatch

import "github.com/plantainmux/plantainmux/internal/locality"

// Method is the name of the call by which a daemon asks a dispatcher.
const Method = "dispatch"

// Call asks which group takes a request.
type Call struct {
	Service      string            `cbor:"1,keyasint"`
	Model        string            `cbor:"2,keyasint"`
	PromptTokens int               `cbor:"3,keyasint,omitempty"`
	OutputTokens int               `cbor:"4,keyasint,omitempty"` // 0: not known
	Priority     int               `cbor:"5,keyasint,omitempty"`
	Team         string            `cbor:"6,keyasint,omitempty"`
	Late         bool              `cbor:"7,keyasint,omitempty"`
	Excluded     []string          `cbor:"8,keyasint,omitempty"`  // keys of targets that the daemon may not use now
	Allowed      *locality.Allowed `cbor:"9,keyasint,omitempty"`  // regions; nil: all
	RemainingMS  int               `cbor:"10,keyasint,omitempty"` // until the deadline
}
