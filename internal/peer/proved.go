package peer

import "errors"

// provedNotRun reports whether a failed call certainly did not run.
func provedNotRun(err error) bool {
	var unreachable *UnreachableError
	var unknown *UnknownMethodError
	return errors.As(err, &unreachable) || errors.As(err, &unknown)
}
