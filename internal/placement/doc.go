// Package placement chooses the endpoint or group for a request: it filters
// the targets that may take it, scores them by what is in progress there, and
// picks the least loaded. It decides on one immutable view and does no I/O.
package placement
