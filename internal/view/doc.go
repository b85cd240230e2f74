// Package view holds the immutable snapshot of configuration and groups that the
// request path reads. The control loop publishes new snapshots; readers load the
// current one atomically, without locks.
package view
