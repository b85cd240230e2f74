// Package gossip exchanges soft state between daemons over UDP: the requests in
// progress at each target, the groups that have stopped responding, and the
// configuration version in force. Each datagram carries the sender's complete state,
// so the next one makes up for a lost one. In a large fleet the daemons send their
// state to a few hubs in their data centre, which aggregate it into digests. State
// from this package never decides anything that requires mutual exclusion.
package gossip
