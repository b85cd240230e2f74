// Package infra contains the clients of the platform's services: the
// append-only log and the VM list. No other package depends on their wire
// formats, so supporting another platform changes only this package.
package infra
