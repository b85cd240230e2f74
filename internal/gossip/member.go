package gossip

// Member is the state of one daemon in a digest.
type Member struct {
	_        struct{} `cbor:",toarray"`
	Hash     uint32   // HashKey of the daemon's name
	AgeMS    int      // since the daemon's last datagram, when the digest was built
	Store    bool     // the daemon reaches the store
	Draining bool
}
