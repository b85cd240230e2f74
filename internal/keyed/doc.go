// Package keyed follows compacted topics, which retain the newest record of each key. A
// follower reloads the newest records when the history that it missed has expired, so
// that only the store needs durable storage.
package keyed
