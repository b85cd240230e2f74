package peer

import "errors"

// NotRun reports whether a failed call is known not to have run.
func NotRun(err error) bool {
	var unreachable *UnreachableError
	var unknown *UnknownMethodError
	return errors.As(err, &unreachable) || errors.As(err, &unknown)
}
