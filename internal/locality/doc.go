// Package locality decides in which regions a request may be handled: at which endpoints it may run,
// and through which daemons its body may pass. It does no I/O.
package locality
