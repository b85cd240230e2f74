package notice

import (
	"math"
	"strconv"
	"time"
)

// maxCold is the longest time that an endpoint may say that it stays cold. A longer one is taken for
// a mistake: the endpoint would take few requests without an operator knowing.
const maxCold = time.Hour

const millisPerS = 1000

// ParseCold returns how long an endpoint stays cold, from the number of milliseconds in an answer. It
// returns an InvalidColdError for anything but a number from 0 to maxCold.
func ParseCold(value string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(ms) {
		return 0, &InvalidColdError{Value: value, Reason: ColdNotANumber}
	}
	return ColdTime(ms)
}

// ColdTime returns the same from the number itself.
func ColdTime(ms float64) (time.Duration, error) {
	switch {
	case ms < 0:
		return 0, &InvalidColdError{Value: strconv.FormatFloat(ms, 'g', -1, 64), Reason: ColdNegative}
	case ms > maxCold.Seconds()*millisPerS:
		return 0, &InvalidColdError{Value: strconv.FormatFloat(ms, 'g', -1, 64), Reason: ColdTooLong}
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}
