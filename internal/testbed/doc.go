// Package testbed runs daemons and fakes in one process, over loopback TCP, for
// tests with fault injection. A daemon can be killed, frozen and partitioned.
package testbed
