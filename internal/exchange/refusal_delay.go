package exchange

import "time"

// RefusalDelay returns after which time a caller that is refused for lack of capacity comes back.
func RefusalDelay() time.Duration { return retryAfter() }
