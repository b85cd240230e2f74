package targetstats

import "time"

// Endpoints bear 6 L + 5 requests in any 4 s if they name a limit of L requests per second, so that
// 2 L + 3 daemons share it.
const (
	namedLimitWindow    = 4 * time.Second
	namedLimitOvershoot = 1.5
	namedLimitSlack     = 5
)

// minLimit is the rate at which an endpoint is asked whether it still names its limit, in requests
// per second of all daemons, if it names less.
const minLimit = 0.1

// LimitShare returns the rate at which a daemon may send to an endpoint that has named a limit,
// both in requests per second. The limit is divided among as many of the live daemons as can keep to
// it without word of each other; the others send nothing. All choose the same by the key.
func LimitShare(limit float64, key string, live []string, self string) float64 {
	policy := SharePolicy{PerS: limit, Window: namedLimitWindow, Overshoot: namedLimitOvershoot, Slack: namedLimitSlack}
	divisor := policy.Divisor(key, live, 0, self)
	if divisor == 0 {
		return 0
	}
	return max(limit, minLimit) / float64(divisor)
}
