// Package adminapi implements the HTTP interface for operators and for the load
// balancer: health, readiness, metrics, status, profiles and orders. It also holds
// the clients of this interface.
package adminapi
