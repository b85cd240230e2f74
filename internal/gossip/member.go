package gossip

// Member is one daemon of a digest.
type Member struct {
	_        struct{} `cbor:",toarray"`
	Hash     uint32   // HashKey of its name
	AgeMS    int      // since it was last heard, when the digest was made
	Store    bool     // it reaches the store
	Draining bool
}
