// Package callerconn keeps the connections of callers within a limit, so that a daemon
// can always accept new ones and has descriptors left for endpoints, peers and the store.
// It also tells whether a caller has closed its connection.
package callerconn
