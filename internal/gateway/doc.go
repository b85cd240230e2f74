// Package gateway assembles a daemon on a platform with a metadata store. The
// daemon follows configuration, endpoints and groups in the store, forwards
// requests to endpoints and groups that serve them, and forms and repairs the
// groups of the domains that it plans.
package gateway
