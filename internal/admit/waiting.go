package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// waiting is a request at a Gate.
type waiting struct {
	Ticket
	model   fleet.ModelName
	started chan struct{} // closed once the request may run
}

func newWaiting(model fleet.ModelName, ticket Ticket) *waiting {
	return &waiting{Ticket: ticket, model: model, started: make(chan struct{})}
}
