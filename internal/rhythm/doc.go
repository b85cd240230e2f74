// Package rhythm tracks how each endpoint or group responds: its requests in
// progress, the time between its events, and whether all its streams have stopped
// sending events, which is the first sign of a lost member.
package rhythm
