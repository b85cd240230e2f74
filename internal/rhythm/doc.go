// Package rhythm measures how each endpoint or group answers: what is in
// progress there, how far apart its events come, and whether it has fallen
// silent as a whole, which is the first sign of a lost member.
package rhythm
