package peer

// hello is the first message of each side in a handshake. Only the acceptor's
// hello carries a proof.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Identity identity
	Nonce    []byte
	Proof    []byte
}
