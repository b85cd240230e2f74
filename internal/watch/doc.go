// Package watch keeps the latest observation of each member, polls the members
// that this daemon is a watcher of, and shares what it saw with its peers.
package watch
