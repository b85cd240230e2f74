package gossip

// Load is what a daemon has in progress at one target.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Count int      // requests in progress
	AgeMS int      // since the target's last event; negative: there was none yet
}
