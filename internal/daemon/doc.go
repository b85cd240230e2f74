// Package daemon assembles the components of a daemon and runs them.
package daemon
