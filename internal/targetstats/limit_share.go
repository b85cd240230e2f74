package targetstats

import "github.com/plantainmux/plantainmux/internal/rendezvous"

// The daemons that share a limit of L requests per second send at most 4 L and one each in any 4 s.
// With 2 L + 3 of them that is 6 L + 3, where endpoints bear 6 L + 5: what is left is for the time in
// which daemons disagree on who they are.
const (
	sharersPerLimit = 2 // per request per second
	minSharers      = 3
)

// minLimit is the rate at which an endpoint is asked whether it still names its limit, in requests
// per second of all daemons, if it names less.
const minLimit = 0.1

// LimitShare returns the rate at which a daemon may send to an endpoint that has named a limit,
// both in requests per second. The limit is divided among as many of the live daemons as can keep to
// it without word of each other; the others send nothing. All choose the same by the key.
func LimitShare(limit float64, key string, live []string, self string) float64 {
	sharers := min(len(live), int(sharersPerLimit*limit)+minSharers)
	if !rendezvous.Chosen(key, live, sharers, self) {
		return 0
	}
	return max(limit, minLimit) / float64(sharers)
}
