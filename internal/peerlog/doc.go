// Package peerlog lets a daemon that the store refuses read it through another
// daemon. Both sides speak CBOR.
package peerlog
