// Package peerlog lets a daemon whose requests the store rejects read the store
// through another daemon. Responses are encoded as CBOR.
package peerlog
