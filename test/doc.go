// Package test contains system tests: daemons and fake platform services that
// communicate over loopback TCP.
package test
