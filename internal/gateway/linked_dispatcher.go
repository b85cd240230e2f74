package gateway

// linkedDispatcher is the dispatcher to which this daemon keeps a link.
type linkedDispatcher struct{ name, address string }
