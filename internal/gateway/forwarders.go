package gateway

import (
	"strings"
	"sync"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
)

// forwarders is how this daemon forwards while it is cut off from the endpoints, until it is chosen
// anew.
type forwarders struct {
	chosen     []string            // for requests that may be handled anywhere
	candidates []forward.Candidate // from which the daemons for any other request are chosen
	cutOffHere int                 // daemons of this data centre that are cut off
	restricted sync.Map            // []string by allowed regions: a choice among 300 daemons takes 60 us and is made several times for a request
}

// through returns the daemons through which a daemon in a data centre forwards requests that may be
// handled in some regions.
func (f *forwarders) through(allowed *locality.Allowed, regions locality.Regions, node, dataCentre string) []string {
	if allowed == nil {
		return f.chosen
	}
	key := strings.Join(allowed.Regions, "\x00")
	if known, ok := f.restricted.Load(key); ok {
		return known.([]string)
	}
	chosen := forward.Choose(node, dataCentre, forward.Permitted(allowed, regions, dataCentre, f.candidates), f.cutOffHere)
	f.restricted.Store(key, chosen)
	return chosen
}
