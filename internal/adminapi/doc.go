// Package adminapi is the HTTP interface of operators and of the balancer:
// health, readiness, metrics and status.
package adminapi
