// Package keyed follows topics that keep the newest record of each key. A
// follower rebuilds itself from the newest records when the history that it
// missed has expired, so that nothing but the store has to last.
package keyed
