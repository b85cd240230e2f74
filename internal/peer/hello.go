package peer

// hello opens a handshake. The acceptor's carries its proof.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Identity identity
	Nonce    []byte
	Proof    []byte
}
