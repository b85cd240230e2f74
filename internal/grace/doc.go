// Package grace decides which requests a stopping daemon still begins. It has no clock and does no I/O.
package grace
