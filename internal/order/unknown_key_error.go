package order

// UnknownKeyError reports that the log holds no order with a key.
type UnknownKeyError struct {
	Key Key
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return "no order with this key is kept"
}
