package peer

import "errors"

// certainlyNotRun reports whether a failed call is known not to have run.
func certainlyNotRun(err error) bool {
	var unreachable *UnreachableError
	var unknown *UnknownMethodError
	return errors.As(err, &unreachable) || errors.As(err, &unknown)
}
