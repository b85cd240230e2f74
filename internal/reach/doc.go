// Package reach decides whether a daemon is cut off from the endpoints: whether its own
// failures are those of its links, and not of the endpoints. It does no I/O and takes the time as
// an argument.
package reach
