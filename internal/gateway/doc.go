// Package gateway assembles a daemon on a platform that has a store of its own:
// configuration, endpoints and groups are followed there, requests are passed
// on to what serves, and the groups of the domains that this daemon plans are
// kept whole.
package gateway
