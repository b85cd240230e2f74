package notice

import (
	"math"
	"strconv"
)

// maxLimit is the largest limit that is taken for one, in requests a second. No endpoint serves
// as many, so that a larger one is a mistake.
const maxLimit = 1e6

// ParseLimit returns how many requests a second an endpoint takes from all daemons together, from
// the decimal number that it named. It returns an InvalidLimitError for anything but a number from
// 0 to maxLimit.
func ParseLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil || math.IsNaN(limit):
		return 0, &InvalidLimitError{Value: value, Reason: LimitNotANumber}
	case limit < 0:
		return 0, &InvalidLimitError{Value: value, Reason: Negative}
	case limit > maxLimit:
		return 0, &InvalidLimitError{Value: value, Reason: TooLarge}
	}
	return limit, nil
}
