// Package story extracts the history of one request from the logs of all
// daemons: the lines about the request itself, and lines from the same time
// about the groups and endpoints that it was sent to.
package story
