// Package test holds tests of the whole system: daemons and stand-ins over
// loopback TCP.
package test
