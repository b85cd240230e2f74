package gateway

import "github.com/plantainmux/plantainmux/internal/forward"

// forwarders is how this daemon forwards while it is cut off from the endpoints. It is immutable.
type forwarders struct {
	chosen     []string            // for requests that may be handled anywhere
	candidates []forward.Candidate // from which the daemons for any other request are chosen
	cutOffHere int                 // daemons of this data centre that are cut off
}
