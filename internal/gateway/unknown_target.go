package gateway

// unknownTarget is a target of a model that this daemon does not know.
type unknownTarget struct {
	model dispatchModel
	key   string
}
