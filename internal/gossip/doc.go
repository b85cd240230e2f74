// Package gossip tells the other daemons what they need to know at once and may
// miss: what is in progress where, which groups have fallen silent, which version
// of the configuration is in force. A datagram carries all of it; a lost one is
// made good by the next. In a large fleet the daemons tell a few hubs of their data
// centre, which add it up for the others. Nothing exclusive is ever decided by it.
package gossip
