package gateway

import "time"

// reportHops is the number of intervals in gossip.Delay where there are dispatchers: from a daemon to
// its hub, to the hub of another data centre, and to a daemon there.
const reportHops = 3

// reportInterval returns the time between two reports of a daemon to its dispatcher, given the delay
// of gossip.
func reportInterval(delay time.Duration) time.Duration { return delay / reportHops }
