package dispatch

// Decline is why a dispatcher leaves the choice to the daemon that asks.
type Decline string

// Declines.
const (
	NotDispatcher Decline = "not_dispatcher" // it is none, or not yet
	Stopping      Decline = "stopping"
	CutOff        Decline = "cut_off"   // from the endpoints
	Unknown       Decline = "unknown"   // it knows no such service or model, or no performance of it
	NoTarget      Decline = "no_target" // it knows of no healthy target
	NoReport      Decline = "no_report" // it has not heard the daemon that asks of late, so that it does not know the load
)
