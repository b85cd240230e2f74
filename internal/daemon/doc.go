// Package daemon builds a daemon from its parts and runs it.
package daemon
