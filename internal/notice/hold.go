package notice

import (
	"math"
	"strconv"
	"time"
)

// maxHold is the longest time that an endpoint may hold off a daemon. A longer one is taken for
// a mistake: the endpoint would be lost to this daemon without an operator knowing.
const maxHold = time.Hour

// ParseHold returns how long an endpoint wants no request, from the number of seconds that it
// named. It returns an InvalidHoldError for anything but a number of seconds above 0 and up to
// maxHold.
func ParseHold(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil || math.IsNaN(seconds):
		return 0, &InvalidHoldError{Value: value, Reason: NotANumber}
	case seconds <= 0:
		return 0, &InvalidHoldError{Value: value, Reason: NotPositive}
	case seconds > maxHold.Seconds():
		return 0, &InvalidHoldError{Value: value, Reason: TooLong}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
