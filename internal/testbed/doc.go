// Package testbed runs daemons and stand-ins in one process, over loopback
// TCP, for tests of failures. A daemon can be killed, frozen and cut off.
package testbed
