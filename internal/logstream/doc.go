// Package logstream folds a stream of the platform's log into a state and
// proposes records to it.
//
// Every record carries its writer's incarnation and a sequence number. A fold
// ignores a record whose sequence number is not above the highest one seen of
// its writer, so an append may be repeated after its answer was lost, and a
// later record of a writer fences all its earlier ones that are still on their
// way. The verdict on a proposal is read back from the stream, never taken
// from the answer of the append.
package logstream
