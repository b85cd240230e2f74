package reach

// State says how a daemon reaches the endpoints.
type State int

// States of a daemon. It goes from CutOff to Connected only through Recovering, so that an
// endpoint that answers a probe but no request ends no cut.
const (
	Connected  State = iota // its own connections are used
	CutOff                  // new connections do not reach endpoints that other daemons reach
	Recovering              // a probe was answered; single requests try whether it reaches endpoints
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	return [...]string{"connected", "cut_off", "recovering"}[s]
}
