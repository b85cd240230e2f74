package order

// UnknownKeyError says that no order with a key is kept.
type UnknownKeyError struct {
	Key Key
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return "no order with this key is kept"
}
