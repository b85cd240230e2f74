package delivery

// Undelivered is a connection that was closed before all that was written to it had been acknowledged.
type Undelivered struct {
	To      Peer
	Address string
	Bytes   int
}
