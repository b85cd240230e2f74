// Package delivery keeps what is under way on the connections of a daemon to endpoints, other daemons and the store:
// bytes that were written and that the system of the other side has not acknowledged. Until they are, the system goes on sending
// them, also once the connection is closed or the process has ended.
package delivery
