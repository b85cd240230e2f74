// Package placement chooses the endpoint or group for a request: it filters
// the eligible targets, scores them by their requests in progress, and picks the
// least loaded one. It works on one immutable view and does no I/O.
package placement
